"""The two deployments of users, and the configurations published for them."""

import hashlib
from types import MappingProxyType
from typing import Any, Final

import attrs


@attrs.frozen
class Site:
    """A data centre: its name and region, and how many processes run there."""

    data_centre: str
    region: str
    instances: int
    engines: int
    applications: int


@attrs.frozen
class Deployment:
    """Names, sizes and network of one user's deployment.

    `link_s` is the one-way latency between sites in seconds, `link_mbps` their
    bandwidth in megabits per second.  `long_kind` is the kind of requests with
    long answers; `shared_bytes` is the length of the prompt prefix that the
    requests of a conversation share.  `weights` are those of the configuration.
    """

    name: str
    sites: tuple[Site, ...]
    link_s: float
    link_mbps: float
    model: str
    long_kind: str
    application: str
    call_path: str
    lookup_path: str
    shared_bytes: int
    weights: dict[str, float]

    def key_of(self, region: str) -> str:
        """Returns the key of the team whose home is a region."""
        return f'{self.name}-{region}-key'

    def team_of(self, region: str) -> str:
        """Returns the name of the team whose home is a region."""
        return f'{self.name}-{region}'


BALKON: Final = Deployment(
    'balkon',
    (
        Site('split-a', 'dalmacija', 2, 2, 1),
        Site('zagreb-b', 'zagreb', 1, 2, 1),
        Site('osijek-a', 'slavonija', 1, 2, 1),
    ),
    0.055,
    70.0,
    'savjetnik',
    'plan',
    'narudzbe',
    '/orders',
    '/stock',
    60_000,
    {'latency': 1.0, 'traffic': 5.0, 'sent_away': 2.0},
)
DESZCZOMAT: Final = Deployment(
    'deszczomat',
    (
        Site('mazowsze-a', 'mazowsze', 2, 2, 1),
        Site('malopolska-a', 'malopolska', 1, 2, 1),
        Site('pomorze-a', 'pomorze', 1, 2, 1),
    ),
    0.055,
    1000.0,
    'ruling-model',
    'ruling',
    'refund-app',
    '/payouts',
    '/claims',
    90_000,
    {'latency': 1.0, 'traffic': 0.1, 'sent_away': 0.05},
)
DEPLOYMENTS: Final = MappingProxyType(
    {deployment.name: deployment for deployment in (BALKON, DESZCZOMAT)}
)


def build_configuration(
    deployment: Deployment,
    upstream_addresses: dict[str, str],
    slots: int,
) -> dict[str, Any]:
    """Returns the configuration document of a deployment.

    `slots` is the number of requests that an upstream serves at once.
    """
    regions = [site.region for site in deployment.sites]
    return {
        'deployment': deployment.name,
        'weights': deployment.weights,
        'regions': [_region(deployment, site) for site in deployment.sites],
        'teams': [_team(deployment, region) for region in regions],
        'services': [
            _model_service(deployment, regions),
            _application_service(deployment, regions),
        ],
        'upstreams': [
            upstream
            for site in deployment.sites
            for upstream in _upstreams(
                deployment,
                site,
                upstream_addresses,
                slots,
            )
        ],
    }


def engine_names(site: Site) -> tuple[str, ...]:
    """Returns the names of the engines of a data centre."""
    return tuple(
        f'{site.data_centre}-engine-{number}' for number in range(site.engines)
    )


def application_names(site: Site) -> tuple[str, ...]:
    """Returns the names of the applications of a data centre."""
    return tuple(
        f'{site.data_centre}-app-{number}'
        for number in range(site.applications)
    )


def instance_names(site: Site) -> tuple[str, ...]:
    """Returns the names of the entry instances of a data centre."""
    return tuple(
        f'{site.data_centre}-{number}' for number in range(site.instances)
    )


def _region(deployment: Deployment, site: Site) -> dict[str, Any]:
    return {
        'name': site.region,
        'data_centres': [site.data_centre],
        'link_mbps': deployment.link_mbps,
        'link_ms': deployment.link_s * 1000,
    }


def _team(deployment: Deployment, region: str) -> dict[str, Any]:
    key = deployment.key_of(region).encode()
    return {
        'name': deployment.team_of(region),
        'home': region,
        'key_sha256': hashlib.sha256(key).hexdigest(),
    }


def _model_service(
    deployment: Deployment,
    regions: list[str],
) -> dict[str, Any]:
    return {
        'name': deployment.model,
        'type': 'model',
        'kinds': [
            {
                'name': 'question',
                'regions': regions,
                'priority': 8,
                'timeout_ms': 20000,
            },
            {
                'name': deployment.long_kind,
                'regions': regions,
                'priority': 4,
                'timeout_ms': 60000,
            },
            {
                'name': 'private',
                'regions': regions,
                'bound_to_home': True,
                'timeout_ms': 60000,
            },
        ],
    }


def _application_service(
    deployment: Deployment,
    regions: list[str],
) -> dict[str, Any]:
    return {
        'name': deployment.application,
        'type': 'application',
        'kinds': [
            {
                'name': 'once',
                'regions': regions,
                'path': deployment.call_path,
                'timeout_ms': 3000,
            },
            {
                'name': 'look-up',
                'regions': regions,
                'method': 'GET',
                'path': deployment.lookup_path,
                'idempotent': True,
                'timeout_ms': 3000,
            },
        ],
    }


def _upstreams(
    deployment: Deployment,
    site: Site,
    addresses: dict[str, str],
    slots: int,
) -> list[dict[str, Any]]:
    return [
        {
            'name': name,
            'service': service,
            'data_centre': site.data_centre,
            'address': f'http://{addresses[name]}',
            'slots': slots,
        }
        for service, names in (
            (deployment.model, engine_names(site)),
            (deployment.application, application_names(site)),
        )
        for name in names
    ]
