"""A state machine of records: one store, three instances, lost messages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticstage.forwarding.image import News, RecordEvent, RecordImage

_KEYS = st.sampled_from(['op/config', 'servers/a', 'servers/b'])
_INSTANCES = st.integers(0, 2)


class RecordMachine(RuleBasedStateMachine):
    """Instances learn from the store and from each other, in any order."""

    def __init__(self):
        """Starts with an empty store and instances that know nothing."""
        super().__init__()
        self.history = []
        self.images = [RecordImage() for _ in range(3)]
        self.seen = [0, 0, 0]

    @rule(key=_KEYS, is_kept=st.booleans())
    def write(self, key, is_kept):
        revision = len(self.history) + 1
        body = b'%d' % revision if is_kept else None
        self.history.append(RecordEvent(key, revision, body))

    @rule(number=_INSTANCES, limit=st.integers(0, 5))
    def watch(self, number, limit):
        """A watch tells what comes after; it may be cut early."""
        image = self.images[number]
        if image.revision:
            end = image.revision + limit
            missed = self.history[image.revision : end]
            revision = missed[-1].revision if missed else image.revision
            image.take(News(tuple(missed), revision, is_whole=False))

    @rule(number=_INSTANCES)
    def read(self, number):
        """A read of everything, as after a start or a lost history."""
        now = self._at(len(self.history)).values()
        listed = tuple(one for one in now if one.body is not None)
        news = News(listed, len(self.history), is_whole=True)
        self.images[number].take(news)

    @rule(number=_INSTANCES, peer=_INSTANCES)
    def ask_peer(self, number, peer):
        news = self.images[peer].since(self.images[number].revision)
        if news.revision > self.images[number].revision:
            self.images[number].take(news)

    @rule(number=_INSTANCES)
    def restart(self, number):
        self.images[number] = RecordImage()
        self.seen[number] = 0

    @invariant()
    def each_image_is_the_store_at_its_revision(self):
        for image in self.images:
            known = {
                one.key: one.body
                for one in image.since(0).events
                if one.body is not None
            }
            then = self._at(image.revision)
            assert known == {
                key: one.body for key, one in then.items() if one.body
            }

    @invariant()
    def no_image_goes_back(self):
        for number, image in enumerate(self.images):
            assert image.revision >= self.seen[number]
            self.seen[number] = image.revision

    def _at(self, revision):
        """Returns the last event of each key up to a revision."""
        return {one.key: one for one in self.history[:revision]}


TestRecordMachine = RecordMachine.TestCase
TestRecordMachine.settings = settings(max_examples=80, stateful_step_count=40)
