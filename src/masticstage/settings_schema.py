"""Typed form of schemas/settings.json (generated)."""

import attrs


@attrs.frozen
class InstanceSettings:
    """Name and addresses of this instance (host:port, numeric)."""

    name: str
    data_centre: str
    region: str
    caller_address: str
    peer_address: str


@attrs.frozen
class PlatformSettings:
    """Where the platform publishes the configuration and the directory."""

    address: str


@attrs.frozen
class TokenSettings:
    """Signing secrets, oldest first; the last one signs, all of them verify."""

    secrets: tuple[str, ...]


@attrs.frozen
class LimitSettings:
    """Bounds on what one instance accepts and holds."""

    body_bytes: int = 4194304
    header_bytes: int = 65536
    open_streams: int = 2000
    open_calls: int = 500
    held_outcomes: int = 20000
    outcome_bytes: int = 65536
    memory_mb: float = 512


@attrs.frozen
class TimingSettings:
    """Periods and timeouts in milliseconds."""

    gossip_ms: int = 500
    suspect_ms: int = 2500
    gone_ms: int = 15000
    directory_ms: int = 1000
    load_ms: int = 500
    peer_timeout_ms: int = 1500
    stream_silence_ms: int = 5000
    abandon_ms: int = 5000
    drain_ms: int = 30000
    ticket_ttl_ms: int = 600000


@attrs.frozen
class Translation:
    """Address under which an instance is reached through the network."""

    address: str
    via: str


@attrs.frozen
class PeerTlsSettings:
    """PEM files for mutual TLS between instances; empty for none."""

    certificate: str = ''
    key: str = ''
    authority: str = ''


@attrs.frozen
class CallerTlsSettings:
    """PEM files for TLS towards callers; empty for none."""

    certificate: str = ''
    key: str = ''


@attrs.frozen
class Settings:
    """Settings of one instance process."""

    instance: InstanceSettings
    platform: PlatformSettings
    tokens: TokenSettings
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    timing: TimingSettings = attrs.field(factory=TimingSettings)
    translations: tuple[Translation, ...] = ()
    peer_tls: PeerTlsSettings = attrs.field(factory=PeerTlsSettings)
    caller_tls: CallerTlsSettings = attrs.field(factory=CallerTlsSettings)
