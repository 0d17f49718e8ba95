"""What callers outside the limits send, for tests."""

from types import MappingProxyType

from bench.platform_fleet import HOST
from tests.edges.crowds import Crowd

LARGE_BYTES = 65536
_HEADER_BYTES = 16384
_FEW = 32
_MANY = 300
#: What a request for a stream has besides other requests.
_PROMPT = ('X-Token-Counts: 900,50', 'X-Prompt-Prefix: a1:800,b2:100')
_STREAM_PATHS = ('/plan/', '/question/')
#: Most bytes of all bodies that a crowd sends beyond what its callers hold.
_PIECES = 63


def head(target, *fields):
    """Returns the head of a request for a target."""
    prompt = _PROMPT if target.startswith(_STREAM_PATHS) else ()
    lines = (
        f'POST {target} HTTP/1.1',
        f'Host: {HOST}',
        'X-Request-Id: crowd',
        'X-Deadline-Ms: 3000',
        *prompt,
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def chunk(size):
    """Returns a chunk of a body."""
    return b'%x\r\n%b\r\n' % (size, b'x' * size)


def small_crowds(target):
    """Returns the crowds of a few callers, or of some hundred that are idle."""
    bodies = unfinished_bodies(target, _FEW)
    huge = head(target, 'Content-Length: 1000000000')
    return {
        **bodies,
        'far-too-large': Crowd(_FEW, huge, b'x' * LARGE_BYTES, 64),
        'never-ending': _endless_body(target, _FEW),
        'endless-head': Crowd(
            _FEW, f'POST {target} HTTP/1.1\r\n'.encode(), b'x: y\r\n' * 8192, 32
        ),
        'one-byte-at-a-time': Crowd(_MANY, b'', b'POST / HTTP', 200, 0.03),
        'idle': Crowd(_MANY, b''),
    }


def unfinished_bodies(target, callers):
    """Returns crowds whose bodies stop just short of their end."""
    chunked = head(target, 'Transfer-Encoding: chunked')
    full = head(target, 'Content-Length: 4194304')
    return {
        'large-chunks': Crowd(callers, chunked, chunk(LARGE_BYTES), _PIECES),
        'small-chunks': Crowd(callers, chunked, chunk(16) * 4096, 16),
        'one-byte-chunks': Crowd(callers, chunked, chunk(1) * 4096, 32),
        'declared': Crowd(callers, full, b'x' * (LARGE_BYTES - 1), 64),
    }


def large_crowds(target, callers):
    """Returns the crowds of as many callers as an address admits."""
    one_byte = b'%b%b' % (head(target, 'Content-Length: 1'), b'x')
    huge = head(target, 'Content-Length: 1000000000')
    return {
        **unfinished_bodies(target, callers),
        'far-too-large': Crowd(callers, huge, b'x' * LARGE_BYTES, 64),
        'never-ending': _endless_body(target, callers),
        'behind-a-request': Crowd(callers, one_byte, b'y' * LARGE_BYTES, 64),
        'many-headers': Crowd(callers, _many_headers(target)),
    }


def _endless_body(target, callers):
    chunked = head(target, 'Transfer-Encoding: chunked')
    return Crowd(callers, chunked, chunk(LARGE_BYTES), 2 * _PIECES + 2)


def _many_headers(target):
    """Returns a whole request with as many headers as its limit has room."""
    body = 'Content-Length: 1'
    field = 'a:b'
    room = _HEADER_BYTES - len(head(target, body))
    count = room // (len(field) + len('\r\n'))
    return head(target, body, *[field] * count) + b'x'


LARGE_FORMS = tuple(large_crowds('/', 0))
SMALL_FORMS = tuple(small_crowds('/'))
#: Forms for which a request is handled; the upstreams stand still meanwhile.
HANDLED_FORMS = MappingProxyType(
    dict.fromkeys(('behind-a-request', 'many-headers'), ('shop', 'model'))
)
