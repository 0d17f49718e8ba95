"""Adoption of published configurations: forward only, whole or not at all."""

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
    """What became of an offered configuration."""

    ADOPTED = 'adopted'
    UNCHANGED = 'unchanged'
    STALE = 'stale'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


@attrs.frozen
class Offer:
    """A configuration document with its version, as read or received."""

    version: int
    document: Document


@attrs.frozen
class Decision:
    """Result of an offer, with the faults of a refused document."""

    adoption: Adoption
    version: int
    faults: Faults = ()


@final
@attrs.define
class Rollout:
    """The configuration in force.

    A higher version replaces a lower one.  Of two documents under the same
    version, the one with the greater digest wins on every instance; this
    is the only replacement under an equal version, and it is reported.
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
        """Digest in force, empty before the first adoption."""
        return self._catalogue.digest if self._catalogue else b''

    @property
    def age(self) -> timedelta:
        """Time since a source last confirmed or replaced the version."""
        return self._clock.elapsed() - self._confirmed_at

    def offer(self, offer: Offer) -> Decision:
        """Adopts the offered configuration if it supersedes the present."""
        if offer.version < self.version:
            return Decision(Adoption.STALE, offer.version)
        checked = check_configuration(offer.version, offer.document)
        match checked:
            case Success(catalogue):
                return self._compare(catalogue)
            case Failure(faults):
                return Decision(Adoption.INVALID, offer.version, faults)
        raise AssertionError(checked)

    def confirm(self, version: int) -> None:
        """Notes that a source still publishes this version."""
        if version == self.version:
            self._confirmed_at = self._clock.elapsed()

    def _compare(self, catalogue: Catalogue) -> Decision:
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
