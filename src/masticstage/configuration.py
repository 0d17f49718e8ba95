"""The published configuration: reference checks and lookup tables.

A configuration is checked and adopted as a whole.  `check_configuration`
returns all faults, not only the first one.
"""

import hashlib
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from functools import cached_property
from typing import final

import attrs
from returns.result import Failure, Result, Success

from masticstage.configuration_schema import (
    Configuration,
    Kind,
    Region,
    Service,
    Team,
    Upstream,
)
from masticstage.documents import Document, Faults, structure
from masticstage.exceptions import Fault

_SOURCE = 'configuration'


@final
@attrs.frozen(slots=False)
class Catalogue:
    """A checked configuration with its version and lookup tables."""

    version: int
    configuration: Configuration
    encoded: bytes

    @cached_property
    def digest(self) -> bytes:
        """SHA-256 of the canonical JSON form."""
        return hashlib.sha256(self.encoded).digest()

    @cached_property
    def teams_by_key(self) -> dict[str, Team]:
        """Teams by the SHA-256 of their key, in hexadecimal."""
        return {team.key_sha256: team for team in self.configuration.teams}

    @cached_property
    def teams(self) -> dict[str, Team]:
        """Teams by name."""
        return {team.name: team for team in self.configuration.teams}

    @cached_property
    def services(self) -> dict[str, Service]:
        """Services by name."""
        return {
            service.name: service for service in self.configuration.services
        }

    @cached_property
    def upstreams(self) -> dict[str, Upstream]:
        """Upstreams by name."""
        return {
            upstream.name: upstream for upstream in self.configuration.upstreams
        }

    @cached_property
    def local_upstreams(self) -> dict[tuple[str, str], tuple[Upstream, ...]]:
        """Upstreams by data centre and service."""
        grouped: dict[tuple[str, str], list[Upstream]] = {}
        for upstream in self.configuration.upstreams:
            key = (upstream.data_centre, upstream.service)
            grouped.setdefault(key, []).append(upstream)
        return {key: tuple(group) for key, group in grouped.items()}

    @cached_property
    def region_of(self) -> dict[str, Region]:
        """Regions by the names of their data centres."""
        return {
            data_centre: region
            for region in self.configuration.regions
            for data_centre in region.data_centres
        }

    def find_kind(self, service_name: str, kind_name: str) -> Kind | None:
        """Returns a kind by name, the first for an empty one, or None."""
        service = self.services.get(service_name)
        if service is None:
            return None
        for kind in service.kinds:
            if kind_name in {'', kind.name}:
                return kind
        return None

    def match_kind(
        self,
        service_name: str,
        method: str,
        path: str,
    ) -> Kind | None:
        """Returns the first kind that matches an application call, if any.

        Methods must be equal, and `path` must start with the path of the kind.
        """
        service = self.services.get(service_name)
        if service is None or service.type != 'application':
            return None
        for kind in service.kinds:
            if kind.method == method and path.startswith(kind.path):
                return kind
        return None


def encode_configuration(document: Document) -> bytes:
    """Returns the canonical JSON form of a configuration document."""
    return json.dumps(document, sort_keys=True, separators=(',', ':')).encode()


def check_configuration(
    version: int,
    document: Document,
) -> Result[Catalogue, Faults]:
    """Checks a configuration document and all references inside it."""
    typed = structure(document, _SOURCE, Configuration)
    return typed.bind(
        lambda configuration: _check_references(
            Catalogue(version, configuration, encode_configuration(document)),
        ),
    )


def _check_references(catalogue: Catalogue) -> Result[Catalogue, Faults]:
    configuration = catalogue.configuration
    faults = (
        *_duplicate_name_faults(
            'regions', (region.name for region in configuration.regions)
        ),
        *_duplicate_name_faults(
            'data_centres', _data_centre_names(configuration)
        ),
        *_duplicate_name_faults(
            'teams', (team.name for team in configuration.teams)
        ),
        *_duplicate_name_faults(
            'services', (service.name for service in configuration.services)
        ),
        *_duplicate_name_faults(
            'upstreams', (upstream.name for upstream in configuration.upstreams)
        ),
        *_team_faults(catalogue),
        *_kind_faults(catalogue),
        *_upstream_faults(catalogue),
    )
    return Failure(faults) if faults else Success(catalogue)


def _data_centre_names(configuration: Configuration) -> Iterator[str]:
    for region in configuration.regions:
        yield from region.data_centres


def _duplicate_name_faults(key: str, names: Iterable[str]) -> Iterator[Fault]:
    for name, count in Counter(names).items():
        if count > 1:
            yield Fault(_SOURCE, f'{key}.{name}', 'a name used once')


def _region_names(catalogue: Catalogue) -> frozenset[str]:
    return frozenset(region.name for region in catalogue.configuration.regions)


def _team_faults(catalogue: Catalogue) -> Iterator[Fault]:
    regions = _region_names(catalogue)
    for team in catalogue.configuration.teams:
        if team.home not in regions:
            yield Fault(_SOURCE, f'teams.{team.name}.home', 'a listed region')


def _kind_faults(catalogue: Catalogue) -> Iterator[Fault]:
    regions = _region_names(catalogue)
    for service in catalogue.configuration.services:
        served_regions = _served_regions(catalogue, service.name)
        for kind in service.kinds:
            key = f'services.{service.name}.kinds.{kind.name}'
            if not regions.issuperset(kind.regions):
                yield Fault(_SOURCE, f'{key}.regions', 'listed regions only')
            if served_regions.isdisjoint(kind.regions):
                yield Fault(_SOURCE, key, 'an upstream in an allowed region')
            if service.type == 'application' and not kind.path:
                yield Fault(_SOURCE, f'{key}.path', 'a path prefix')


def _served_regions(catalogue: Catalogue, service_name: str) -> frozenset[str]:
    """Returns the regions that have an upstream of a service."""
    return frozenset(
        catalogue.region_of[upstream.data_centre].name
        for upstream in catalogue.configuration.upstreams
        if upstream.service == service_name
        and upstream.data_centre in catalogue.region_of
    )


def _upstream_faults(catalogue: Catalogue) -> Iterator[Fault]:
    for upstream in catalogue.configuration.upstreams:
        key = f'upstreams.{upstream.name}'
        if upstream.service not in catalogue.services:
            yield Fault(_SOURCE, f'{key}.service', 'a listed service')
        if upstream.data_centre not in catalogue.region_of:
            yield Fault(_SOURCE, f'{key}.data_centre', 'a listed data centre')
