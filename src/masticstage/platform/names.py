"""Names of the platform's headers, paths, keys and states."""

from typing import Final

# Headers, in lower case as the parser returns them.
REQUEST_ID: Final = b'x-request-id'
DEADLINE_MS: Final = b'x-deadline-ms'
PROMPT_PREFIX: Final = b'x-prompt-prefix'
TOKEN_COUNTS: Final = b'x-token-counts'
LAST_EVENT_ID: Final = b'last-event-id'
#: From a caller: the id of the attempt that brought a stream's first event.
RESUMES: Final = b'resumes'
#: From a caller, with the key of its team.
AUTHORIZATION: Final = b'authorization'
KEY_SCHEME: Final = b'bearer'
#: To an upstream: the name of the caller's team.
TEAM: Final = b'x-tenant'
#: Only upstreams set it. The gateway checks its presence, not its value.
SIGNATURE: Final = b'x-response-signature'
#: Name of an upstream, not of an instance of the gateway.
TARGET_INSTANCE: Final = b'x-target-instance'
INSTANCE_ID: Final = b'x-instance-id'
LOAD: Final = b'x-server-load'
NOT_EXECUTED: Final = b'x-not-executed'
#: Remaining warm-up time of an upstream, not the elapsed one.
WARMUP_MS: Final = b'x-warmup-ms'
PRIORITY: Final = b'x-request-priority'
#: Address of an engine from which the upstream copies a cached prompt prefix.
FETCH_FROM: Final = b'kv-fetch'
#: From an upstream: that it leaves. The value is 1.
LEAVING: Final = b'server-leaving'
#: From an upstream with status 503: how long it wants nothing from this
#: instance. To a caller: when to come back.
RETRY_AFTER: Final = b'retry-after'
#: From the store: how often it has been restored from a copy.
STORE_ERA: Final = 'store-era'
CONTENT_ENCODING: Final = b'content-encoding'
HOST: Final = b'host'
CONNECTION: Final = b'connection'

#: Headers about one connection or the framing of its messages; not forwarded.
HOP_BY_HOP: Final = frozenset(
    (
        CONNECTION,
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
#: Headers that only the gateway may set on requests to upstreams; those of
#: callers are removed.
SET_BY_GATEWAY: Final = frozenset(
    (
        DEADLINE_MS,
        LAST_EVENT_ID,
        TARGET_INSTANCE,
        PRIORITY,
        b'x-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'kv-from',
        FETCH_FROM,
    )
)

#: Headers that say whose request it is. They are replaced if there are teams.
TEAM_HEADERS: Final = frozenset((AUTHORIZATION, TEAM))

# Paths.
READY_PATH: Final = b'/-/ready'
RESOLVE_PATH: Final = b'/-/resolve'
RANGE_PATH: Final = '/-/kv-range'
WATCH_PATH: Final = '/-/kv-watch'

# Keys of the store.
CONFIGURATION_KEY: Final = 'op/config'
EVACUATION_PREFIX: Final = 'op/evacuate/'
UPSTREAM_PREFIX: Final = 'servers/'

# States of an upstream.
STATE_READY: Final = 'ready'
STATE_LEAVING: Final = 'draining'
