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

_PLATFORM_LATENCY_S: Final = 0.001
_PLATFORM_MBPS: Final = 10_000.0


@final
@attrs.define(eq=False)
class Network:
    """Addresses of all processes, and the links between them.

    Instances reach the platform and instances of other sites only through
    links.  `addresses` has the address (host:port) of each process by name, and
    that of each link's listener by `data_centre>target`.
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
        """Returns the site of an instance or upstream."""
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
        """Returns the names of the pipes that begin or end in a data centre."""
        return [
            name
            for name in self._pipe_names()
            if data_centre in name.split('>')
        ]

    def plan_links(self) -> dict[str, Any]:
        """Assigns listener addresses; returns settings of `standins.links`."""
        links = [
            self._add_platform_link(site) for site in self.deployment.sites
        ]
        links.extend(
            self._add_peer_link(site, name)
            for site in self.deployment.sites
            for name in self.instances()
            if not name.startswith(site.data_centre)
        )
        return {
            'control': self.addresses['links'],
            'pipes': [self._pipe_settings(name) for name in self._pipe_names()],
            'links': links,
        }

    def translation_lines(self, site: Site) -> Iterator[str]:
        """Yields the lines of settings that make a site use its links."""
        for name in self.instances():
            via = self.addresses.get(f'{site.data_centre}>{name}')
            if via is not None:
                yield '[[translations]]'
                yield f'address = "{self.peer_addresses[name]}"'
                yield f'via = "{via}"'

    def build_directory(
        self,
        leaving: set[str],
        started_ms: dict[str, int],
    ) -> dict[str, Any]:
        """Returns the platform's directory of instances and upstreams.

        `leaving` are names of upstreams.  `started_ms` are their start times
        in milliseconds since 1970, which serve as incarnations.
        """
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

    def _pipe_settings(self, name: str) -> dict[str, Any]:
        is_platform_pipe = 'platform' in name
        return {
            'name': name,
            'latency_s': _PLATFORM_LATENCY_S
            if is_platform_pipe
            else self.deployment.link_s,
            'mbps': _PLATFORM_MBPS
            if is_platform_pipe
            else self.deployment.link_mbps,
        }

    def _add_platform_link(self, site: Site) -> dict[str, str]:
        listen = f'127.0.0.1:{next(free_ports(1))}'
        self.addresses[f'{site.data_centre}>platform'] = listen
        return {
            'listen': listen,
            'target': self.addresses['platform'],
            'forward': f'{site.data_centre}>platform',
            'backward': f'platform>{site.data_centre}',
        }

    def _add_peer_link(self, site: Site, name: str) -> dict[str, str]:
        listen = f'127.0.0.1:{next(free_ports(1))}'
        remote = self.site_of(name).data_centre
        self.addresses[f'{site.data_centre}>{name}'] = listen
        return {
            'listen': listen,
            'target': self.peer_addresses[name],
            'forward': f'{site.data_centre}>{remote}',
            'backward': f'{remote}>{site.data_centre}',
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
        data_centres = [site.data_centre for site in self.deployment.sites]
        peer_pipes = [
            f'{source}>{target}'
            for source in data_centres
            for target in data_centres
            if source != target
        ]
        to_platform = [f'{source}>platform' for source in data_centres]
        return [
            *peer_pipes,
            *to_platform,
            *(f'platform>{source}' for source in data_centres),
        ]
