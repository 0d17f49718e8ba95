"""Tests of the replica of published records."""

from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.image import News, RecordEvent, RecordImage

_EVENTS = st.lists(
    st.tuples(st.sampled_from('abc'), st.booleans()),
    max_size=12,
)


def _history(drawn):
    return [
        RecordEvent(key, number + 1, b'%d' % number if is_kept else None)
        for number, (key, is_kept) in enumerate(drawn)
    ]


def _records(image):
    return {
        event.key: event.body
        for event in image.since(0).events
        if event.body is not None
    }


@given(_EVENTS, st.randoms())
def test_order_and_repetition_of_events_do_not_matter(drawn, random):
    events = _history(drawn)
    in_order, shuffled = RecordImage(), RecordImage()
    in_order.take(News(tuple(events), len(events), is_whole=False))
    random.shuffle(events)
    for event in events + events:
        shuffled.take(News((event,), event.revision, is_whole=False))

    assert _records(in_order) == _records(shuffled)


def test_an_older_record_never_replaces_a_newer_one():
    image = RecordImage()
    image.take(News((RecordEvent('a', 5, b'new'),), 5, is_whole=False))

    changed = image.take(News((RecordEvent('a', 4, b'old'),), 4, is_whole=True))

    assert not changed
    assert _records(image) == {'a': b'new'}
    assert image.revision == 5


def test_a_whole_read_removes_what_it_does_not_list():
    image = RecordImage()
    known = (RecordEvent('a', 1, b'1'), RecordEvent('b', 2, b'2'))
    image.take(News(known, 2, is_whole=False))

    changed = image.take(News((RecordEvent('b', 2, b'2'),), 3, is_whole=True))

    assert changed == [RecordEvent('a', 3, None)]


def test_a_whole_read_keeps_what_is_newer_than_it():
    image = RecordImage()
    image.take(News((RecordEvent('late', 9, b'9'),), 9, is_whole=False))

    image.take(News((), 8, is_whole=True))

    assert _records(image) == {'late': b'9'}


def test_a_peer_that_is_behind_gets_deletions_too():
    image, peer = RecordImage(), RecordImage()
    first = News((RecordEvent('a', 1, b'1'),), 1, is_whole=False)
    image.take(first)
    peer.take(first)
    image.take(News((RecordEvent('a', 2, None),), 2, is_whole=False))

    peer.take(image.since(peer.revision))

    assert not _records(peer)
    assert peer.revision == 2


def test_forgotten_deletions_make_the_news_whole():
    image = RecordImage()
    for number in range(1, 2100):
        event = RecordEvent(f'k{number}', number, None)
        image.take(News((event,), number, is_whole=False))

    assert image.since(5).is_whole
    assert not image.since(2098).is_whole


def test_a_deletion_that_was_never_seen_reaches_a_peer_that_is_behind():
    behind, fresh = RecordImage(), RecordImage()
    behind.take(News((RecordEvent('a', 1, b'1'),), 1, is_whole=True))
    fresh.take(News((), 2, is_whole=True))

    behind.take(fresh.since(behind.revision))

    assert not _records(behind)
