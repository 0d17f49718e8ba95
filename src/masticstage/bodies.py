"""Parsing of JSON request bodies."""

import json
from typing import Any

from masticstage.exceptions import InvalidRequestError


def shared_prefix(body: bytes) -> str:
    """Returns the part of a chat request that other requests share.

    This is the content of the first message, such as a system prompt or a
    conversation history.  Raises `InvalidRequestError` without a message.
    """
    document = parse_json_object(body)
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError('messages: a list that is not empty')
    first = messages[0]
    if not isinstance(first, dict):
        raise InvalidRequestError('messages: a list of objects')
    return str(first.get('content', ''))


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a request body.

    Raises `InvalidRequestError` when the body is anything else.
    """
    try:
        document = json.loads(body)
    except ValueError as error:
        raise InvalidRequestError('a JSON object') from error
    if not isinstance(document, dict):
        raise InvalidRequestError('a JSON object')
    return document
