"""Small stand-ins for the systems around masticstage, for tests and trials.

None of this is part of the product.
"""
