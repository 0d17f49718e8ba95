"""Addresses of a deployment's processes and the links between its sites."""

from collections.abc import Iterator
from typing import Any, Final, final

import attrs

from bench.deployments import (
    Deployment,
    Site,
    application_names,
    engine_names,
    instance_names,
)
from bench.ports import free_ports

_LOCAL_S: Final = 0.001
_LOCAL_MBPS: Final = 10_000.0


@final
@attrs.define(eq=False)
class Network:
    """Where each process listens, and through what others reach it.

    Instances of different sites, and instances and the platform, reach each
    other through links.
    """

    deployment: Deployment
    addresses: dict[str, str] = attrs.field(factory=dict)
    peer_addresses: dict[str, str] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Assigns an address to every process."""
        self._assign_addresses()

    def instances(self) -> tuple[str, ...]:
        """Returns the names of all entry instances."""
        return tuple(
            name
            for site in self.deployment.sites
            for name in instance_names(site)
        )

    def site_of(self, name: str) -> Site:
        """Returns the data centre of an instance or upstream."""
        for site in self.deployment.sites:
            if name.startswith(site.data_centre):
                return site
        raise KeyError(name)

    def upstreams(self) -> list[str]:
        """Returns the addresses of all upstreams."""
        return [
            address
            for name, address in self.addresses.items()
            if '-engine-' in name or '-app-' in name
        ]

    def pipes_of(self, data_centre: str) -> list[str]:
        """Returns the pipes that begin or end in a data centre."""
        return [
            name
            for name in self._pipe_names()
            if data_centre in name.split('>')
        ]

    def plan_links(self) -> dict[str, Any]:
        """Assigns the listeners and returns the settings of the links."""
        links = [self._platform_link(site) for site in self.deployment.sites]
        links.extend(
            self._peer_link(site, name)
            for site in self.deployment.sites
            for name in self.instances()
            if not name.startswith(site.data_centre)
        )
        return {
            'control': self.addresses['links'],
            'pipes': [self._pipe(name) for name in self._pipe_names()],
            'links': links,
        }

    def translations(self, site: Site) -> Iterator[str]:
        """Yields the lines of settings that lead through the links."""
        for name in self.instances():
            via = self.addresses.get(f'{site.data_centre}>{name}')
            if via is not None:
                yield '[[translations]]'
                yield f'address = "{self.peer_addresses[name]}"'
                yield f'via = "{via}"'

    def describe(
        self,
        leaving: set[str],
        started_ms: dict[str, int],
    ) -> dict[str, Any]:
        """Returns the platform's list of instances and upstreams."""
        return {
            'instances': [
                {
                    'name': name,
                    'data_centre': self.site_of(name).data_centre,
                    'region': self.site_of(name).region,
                    'peer_address': self.peer_addresses[name],
                    'caller_address': self.addresses[name],
                }
                for name in self.instances()
            ],
            'upstreams': [
                {
                    'name': name,
                    'incarnation': started_ms.get(name, 0),
                    'state': 'leaving' if name in leaving else 'live',
                }
                for name in self.addresses
                if '-engine-' in name or '-app-' in name
            ],
        }

    def _pipe(self, name: str) -> dict[str, Any]:
        is_local = 'platform' in name
        return {
            'name': name,
            'latency_s': _LOCAL_S if is_local else self.deployment.link_s,
            'mbps': _LOCAL_MBPS if is_local else self.deployment.link_mbps,
        }

    def _platform_link(self, site: Site) -> dict[str, str]:
        listen = f'127.0.0.1:{next(free_ports(1))}'
        self.addresses[f'{site.data_centre}>platform'] = listen
        return {
            'listen': listen,
            'target': self.addresses['platform'],
            'forward': f'{site.data_centre}>platform',
            'backward': f'platform>{site.data_centre}',
        }

    def _peer_link(self, site: Site, name: str) -> dict[str, str]:
        listen = f'127.0.0.1:{next(free_ports(1))}'
        there = self.site_of(name).data_centre
        self.addresses[f'{site.data_centre}>{name}'] = listen
        return {
            'listen': listen,
            'target': self.peer_addresses[name],
            'forward': f'{site.data_centre}>{there}',
            'backward': f'{there}>{site.data_centre}',
        }

    def _assign_addresses(self) -> None:
        names = ['platform', 'links', *self.instances()]
        for site in self.deployment.sites:
            names.extend(engine_names(site))
            names.extend(application_names(site))
        ports = free_ports(len(names) + len(self.instances()))
        for name in names:
            self.addresses[name] = f'127.0.0.1:{next(ports)}'
        for name in self.instances():
            self.peer_addresses[name] = f'127.0.0.1:{next(ports)}'

    def _pipe_names(self) -> list[str]:
        centres = [site.data_centre for site in self.deployment.sites]
        between = [
            f'{here}>{there}'
            for here in centres
            for there in centres
            if here != there
        ]
        reads = [f'{here}>platform' for here in centres]
        return [*between, *reads, *(f'platform>{here}' for here in centres)]
