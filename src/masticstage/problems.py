"""Problem documents (RFC 9457) that report failures to callers."""

import json

from masticstage.exceptions import MasticstageError
from masticstage.requests import PROBLEM_TYPE, Reply


def problem_document(
    error: MasticstageError,
    request_id: str,
    configuration_version: int,
) -> dict[str, object]:
    """Returns the problem document for an error."""
    return {
        'type': f'urn:masticstage:{error.code}',
        'title': (type(error).__doc__ or '').partition('\n')[0],
        'status': int(error.status),
        'detail': str(error),
        'outcome': error.outcome.value,
        'fields': error.fields(),
        'request_id': request_id,
        'configuration_version': configuration_version,
    }


def problem_reply(
    error: MasticstageError,
    request_id: str,
    configuration_version: int,
) -> Reply:
    """Returns the reply that reports a failure."""
    document = problem_document(error, request_id, configuration_version)
    headers: tuple[tuple[str, str], ...] = ()
    if error.retry_after_s is not None:
        headers = (('Retry-After', str(error.retry_after_s)),)
    return Reply(
        int(error.status),
        PROBLEM_TYPE,
        json.dumps(document).encode(),
        headers=headers,
    )
