"""Prints the libraries that the programs need, one requirement a line.

The deployment installs them from here, so that pyproject.toml has the only
list.
"""

import tomllib
from pathlib import Path

_PROJECT = Path(__file__).resolve().parent.parent / 'pyproject.toml'


def main() -> None:
    """Writes the requirements to standard output."""
    project = tomllib.loads(_PROJECT.read_text())['project']
    print('\n'.join(project['dependencies']))


if __name__ == '__main__':
    main()
