"""Adoption of published configurations.

Versions only increase, and a document is adopted as a whole or refused.
"""

import enum
from datetime import timedelta
from typing import final

import attrs
from returns.result import Failure, Success

from masticstage.clock import Clock
from masticstage.configuration import Catalogue, check_configuration
from masticstage.documents import Document, Faults


@enum.unique
class Adoption(enum.Enum):
    """Result of offering a configuration."""

    ADOPTED = 'adopted'
    UNCHANGED = 'unchanged'
    STALE = 'stale'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


@attrs.frozen
class Offer:
    """A configuration document with its version, not yet checked."""

    version: int
    document: Document


@attrs.frozen
class Decision:
    """Result of the offer of a version, with the faults of the document."""

    adoption: Adoption
    version: int
    faults: Faults = ()


@final
@attrs.define
class Rollout:
    """The configuration in force.

    A higher version replaces a lower one.  Of two documents of the same
    version every instance keeps the one with the greater digest and reports
    a conflict; nothing else is replaced by an equal version.
    """

    _clock: Clock
    _catalogue: Catalogue | None = None
    _confirmed_at: timedelta = timedelta()

    @property
    def catalogue(self) -> Catalogue | None:
        """The configuration in force, None before the first adoption."""
        return self._catalogue

    @property
    def version(self) -> int:
        """Version in force, 0 before the first adoption."""
        return self._catalogue.version if self._catalogue else 0

    @property
    def digest(self) -> bytes:
        """Digest of the configuration in force, empty before the first."""
        return self._catalogue.digest if self._catalogue else b''

    @property
    def age(self) -> timedelta:
        """Time since a source last confirmed or replaced the version."""
        return self._clock.elapsed() - self._confirmed_at

    def offer(self, offer: Offer) -> Decision:
        """Adopts a configuration if it supersedes the one in force."""
        if offer.version < self.version:
            return Decision(Adoption.STALE, offer.version)
        checked = check_configuration(offer.version, offer.document)
        match checked:
            case Success(catalogue):
                return self._adopt_if_superseding(catalogue)
            case Failure(faults):
                return Decision(Adoption.INVALID, offer.version, faults)
        raise AssertionError(checked)

    def confirm(self, version: int) -> None:
        """Records that a source still publishes the version in force."""
        if version == self.version:
            self._confirmed_at = self._clock.elapsed()

    def _adopt_if_superseding(self, catalogue: Catalogue) -> Decision:
        if catalogue.version > self.version:
            return self._adopt(catalogue, Adoption.ADOPTED)
        self._confirmed_at = self._clock.elapsed()
        if catalogue.digest == self.digest:
            return Decision(Adoption.UNCHANGED, catalogue.version)
        if catalogue.digest > self.digest:
            return self._adopt(catalogue, Adoption.CONFLICT)
        return Decision(Adoption.CONFLICT, catalogue.version)

    def _adopt(self, catalogue: Catalogue, adoption: Adoption) -> Decision:
        self._catalogue = catalogue
        self._confirmed_at = self._clock.elapsed()
        return Decision(adoption, catalogue.version)
