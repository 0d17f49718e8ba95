"""Mutual TLS between instances.

Every instance has a certificate for the name `masticstage`, signed by one
authority.  A peer without such a certificate is refused, so that no other
program can forward requests on behalf of a team.
"""

from pathlib import Path
from typing import Final

import grpc

from masticstage.settings_schema import PeerTlsSettings

#: Name in the certificates of all instances, independent of their addresses.
PEER_NAME: Final = 'masticstage'
#: Channel option: verify certificates against `PEER_NAME`.
TARGET_NAME_OPTION: Final = ('grpc.ssl_target_name_override', PEER_NAME)


def channel_credentials(
    tls: PeerTlsSettings,
) -> grpc.ChannelCredentials | None:
    """Returns the credentials of a client, None if TLS is not configured."""
    if not tls.certificate:
        return None
    return grpc.ssl_channel_credentials(
        root_certificates=Path(tls.authority).read_bytes(),
        private_key=Path(tls.key).read_bytes(),
        certificate_chain=Path(tls.certificate).read_bytes(),
    )


def server_credentials(
    tls: PeerTlsSettings,
) -> grpc.ServerCredentials | None:
    """Returns the credentials of a server, None if TLS is not configured."""
    if not tls.certificate:
        return None
    pair = (Path(tls.key).read_bytes(), Path(tls.certificate).read_bytes())
    return grpc.ssl_server_credentials(
        [pair],
        root_certificates=Path(tls.authority).read_bytes(),
        require_client_auth=True,
    )
