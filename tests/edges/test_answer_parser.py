"""Tests of parsing an answer: framing, stray bytes, bytes without end."""

from itertools import pairwise

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from masticstage.edges.answer_parser import AnswerParser
from masticstage.exceptions import MalformedAnswerError

_HEAD = b'HTTP/1.1 200 OK\r\n'
_WHOLE = _HEAD + b'Content-Length: 4\r\n\r\nfine'
_CHUNKED = (
    _HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'2\r\nfi\r\n2;name=text\r\nne\r\n0\r\nTrailer: 1\r\n\r\n'
)


def _parse(*pieces, method=b'GET'):
    parser = AnswerParser(method)
    for piece in pieces:
        parser.feed(piece)
    return parser


@pytest.mark.parametrize('answer', [_WHOLE, _CHUNKED])
@given(cuts=st.lists(st.integers(0, 100), max_size=6))
def test_an_answer_is_the_same_however_it_is_cut(answer, cuts):
    within = {min(cut, len(answer)) for cut in cuts}
    bounds = sorted(within | {0, len(answer)})
    parser = _parse(
        *(answer[start:end] for start, end in pairwise(bounds)),
    )

    assert parser.is_complete
    assert parser.allows_reuse
    assert parser.take_body() == b'fine'


@pytest.mark.parametrize('answer', [_WHOLE, _CHUNKED])
def test_an_answer_that_ends_early_is_not_complete(answer):
    for length, _ in enumerate(answer):
        parser = _parse(answer[:length])

        assert not parser.is_complete
        with pytest.raises(MalformedAnswerError):
            parser.feed_end()


@pytest.mark.parametrize('status', [b'000', b'001', b'099', b'600', b'999'])
def test_a_status_that_http_does_not_have_is_malformed(status):
    """Guards against answers that are skipped as interim or passed on."""
    with pytest.raises(MalformedAnswerError):
        _parse(b'HTTP/1.1 %b Text\r\nContent-Length: 0\r\n\r\n' % status)


@pytest.mark.parametrize('status', [b'200', b'599'])
def test_an_unusual_status_of_a_known_class_is_an_answer(status):
    parser = _parse(b'HTTP/1.1 %b Text\r\nContent-Length: 0\r\n\r\n' % status)

    assert parser.is_complete


def test_a_body_without_length_ends_with_the_connection():
    parser = _parse(_HEAD + b'\r\nfi', b'ne')

    assert not parser.is_complete
    parser.feed_end()
    assert parser.is_complete
    assert parser.take_body() == b'fine'
    assert not parser.allows_reuse


@pytest.mark.parametrize('answer', [_WHOLE, _CHUNKED])
@pytest.mark.parametrize('extra', [_WHOLE, b'HTTP', b'\0', b'x'])
@pytest.mark.parametrize('is_at_once', [True, False])
def test_a_second_copy_of_an_answer_ends_reuse(answer, extra, is_at_once):
    pieces = (answer + extra,) if is_at_once else (answer, extra)
    parser = _parse(*pieces)

    assert parser.is_complete
    assert parser.has_extra
    assert not parser.allows_reuse
    assert parser.take_body() == b'fine'


@pytest.mark.parametrize(
    ('method', 'head'),
    [
        (b'HEAD', _HEAD + b'Content-Length: 4\r\n\r\n'),
        (b'GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
        (b'GET', b'HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n'),
    ],
)
def test_answers_without_a_body(method, head):
    parser = _parse(head, method=method)

    assert parser.is_complete
    assert parser.allows_reuse
    parser.feed(b'late')
    assert not parser.allows_reuse
    assert not parser.take_body()


def test_interim_answers_are_passed_over():
    parser = _parse(b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + _WHOLE)

    assert parser.head.status == 200
    assert dict(parser.head.headers) == {b'content-length': b'4'}


@pytest.mark.parametrize(
    'answer',
    [
        _HEAD + b'Connection: close\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n',
    ],
)
def test_an_answer_may_end_the_use_of_its_connection(answer):
    parser = _parse(answer)

    assert parser.is_complete
    assert not parser.allows_reuse


@pytest.mark.parametrize(
    'answer',
    [
        b'no answer at all\r\n\r\n',
        b'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
        _HEAD + b'Content-Length: 4\r\nContent-Length: 5\r\n\r\n',
        _HEAD + b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n',
        _HEAD + b'Transfer-Encoding: gzip\r\n\r\n',
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
    ],
)
def test_bytes_that_are_no_answer(answer):
    with pytest.raises(MalformedAnswerError):
        _parse(answer)


@pytest.mark.parametrize(
    ('start', 'endless'),
    [
        (_HEAD, b'X-More: text\r\n'),
        (_HEAD + b'X-More: ', b'text'),
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
        (_HEAD + b'Transfer-Encoding: chunked\r\n\r\n', b'0000'),
        (_HEAD + b'Transfer-Encoding: chunked\r\n\r\n2;', b'name=text;'),
        (
            _HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nfi\r\n0\r\n',
            b'X-Trailer: text\r\n',
        ),
    ],
)
def test_bytes_without_end_that_are_no_body_are_refused(start, endless):
    parser = _parse(start)

    with pytest.raises(MalformedAnswerError):
        for _ in range(200):
            parser.feed(endless * 100)


@given(received=st.lists(st.binary(max_size=60), max_size=8))
@example(received=[_WHOLE, _WHOLE])
@example(received=[b'HTTP/1.1 200 OK\r\n', b'\r\n', b'body'])
def test_any_bytes_give_an_answer_or_a_typed_failure(received):
    parser = AnswerParser(b'GET')
    try:
        for piece in received:
            parser.feed(piece)
        parser.feed_end()
    except MalformedAnswerError:
        return
    assert parser.head is not None
