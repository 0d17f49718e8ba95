"""State machine: instances, one an older program, of a store that rolls back.

Guards against records of two eras in one cache, and against older programs
that bring state of no era into newer ones.
"""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticstage.forwarding.record_cache import (
    RecordCache,
    RecordEvent,
    RecordUpdates,
)

_KEYS = st.sampled_from(['op/config', 'servers/a', 'servers/b'])
_INSTANCES = st.integers(0, 2)
#: The instance whose messages name no era.
_OLDER = 3
_FIRST_ERA = 1


def _listed(history):
    """Returns the records that a history leads to."""
    latest = {event.key: event for event in history}
    return {key: event for key, event in latest.items() if event.body}


class RollbackMachine(RuleBasedStateMachine):
    """Messages of the store and of peers arrive in any order, or never."""

    def __init__(self):
        """Starts in the first era, with an empty store and empty caches."""
        super().__init__()
        self.eras = {_FIRST_ERA: []}
        self.caches = [RecordCache() for _ in range(_OLDER + 1)]
        self.highest = [(0, 0)] * len(self.caches)
        self.delayed = []

    @property
    def era(self):
        return max(self.eras)

    @rule(key=_KEYS, is_kept=st.booleans())
    def write(self, key, is_kept):
        history = self.eras[self.era]
        revision = len(history) + 1
        body = b'%d.%d' % (self.era, revision) if is_kept else None
        history.append(RecordEvent(key, revision, body))

    @rule(lost=st.integers(0, 4))
    def drill(self, lost):
        history = self.eras[self.era]
        copied = history[: max(0, len(history) - lost)]
        self.eras[self.era + 1] = copied

    @rule(number=_INSTANCES, limit=st.integers(0, 5))
    def watch(self, number, limit):
        """Receives events; an answer of a later era to an old watch too."""
        era, revision = self.caches[number].position
        if revision:
            history = self.eras[self.era]
            events = tuple(history[revision : revision + limit])
            last = events[-1].revision if events else revision
            updates = RecordUpdates(events, last, False, self.era)
            self.caches[number].apply(updates)

    @rule(number=_INSTANCES)
    def read(self, number):
        self.caches[number].apply(self._snapshot(self.era))

    @rule(is_sent=st.booleans())
    def read_of_older_program(self, is_sent):
        updates = attrs.evolve(self._snapshot(self.era), era=0)
        self.caches[_OLDER].apply(updates)

    @rule()
    def delay_answer(self):
        self.delayed.append(self._snapshot(self.era))

    @rule(number=_INSTANCES)
    def receive_delayed(self, number):
        """Receives an answer of the store, perhaps of an earlier era."""
        if self.delayed:
            self.caches[number].apply(self.delayed.pop())

    @rule(number=_INSTANCES, peer=_INSTANCES)
    def fetch_from_peer(self, number, peer):
        self._fetch(self.caches[number], self.caches[peer])

    @rule(number=_INSTANCES, peer=_INSTANCES)
    def receive_delayed_fetch(self, number, peer):
        """Receives an answer to a request from before a rollback."""
        era, revision = self.caches[number].position
        updates = self.caches[peer].updates_since(revision, era)
        self.caches[number].apply(self._snapshot(self.era))
        self.caches[number].apply(updates)

    @rule(number=_INSTANCES)
    def fetch_from_older_program(self, number):
        cache, older = self.caches[number], self.caches[_OLDER]
        if (0, older.revision) > cache.position:
            cache.apply(older.updates_since(cache.revision))

    @rule(number=_INSTANCES)
    def answer_older_program(self, number):
        """An older program compares revisions only."""
        cache, older = self.caches[number], self.caches[_OLDER]
        if cache.revision > older.revision:
            updates = cache.updates_since(older.revision)
            older.apply(attrs.evolve(updates, era=0))
            assert older.revision == cache.revision

    @rule(number=st.integers(0, _OLDER))
    def restart(self, number):
        self.caches[number] = RecordCache()
        self.highest[number] = (0, 0)

    @invariant()
    def each_cache_equals_the_store_at_its_position(self):
        for cache in self.caches[:_OLDER]:
            if cache.era:
                history = self.eras[cache.era][: cache.revision]
                cached = _listed(cache.updates_since(0).events)
                assert cached == _listed(history)

    @invariant()
    def no_position_decreases(self):
        for number, cache in enumerate(self.caches):
            assert cache.position >= self.highest[number]
            self.highest[number] = cache.position

    @invariant()
    def a_reader_of_the_latest_state_has_it(self):
        for cache in self.caches[:_OLDER]:
            reader = RecordCache()
            self._fetch(reader, cache)
            reader.apply(self._snapshot(self.era))
            assert reader.position == (self.era, len(self.eras[self.era]))

    def _fetch(self, reader, peer):
        if peer.position > reader.position:
            era, revision = reader.position
            reader.apply(peer.updates_since(revision, era))
            assert reader.position == peer.position

    def _snapshot(self, era):
        history = self.eras[era]
        listed = tuple(_listed(history).values())
        return RecordUpdates(listed, len(history), True, era)


TestRollbacks = RollbackMachine.TestCase
TestRollbacks.settings = settings(max_examples=80, stateful_step_count=40)
