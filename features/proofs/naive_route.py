"""Token and window against naive ones that remember everything.

The state machines are run by hypothesis; a failing run prints its steps.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from cornelgap.core import window
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import KeyCfg, KeyStage
from cornelgap.core.token import (
    Token,
    mint_token,
    pick_signing_key,
    verify_token,
)

NUMBERS = st.one_of(
    st.integers(1, 40), st.integers(1, 1200), st.integers(1, 2**64 - 1)
)
NAMES = st.text('abcxyz-é', min_size=1, max_size=12)


class WindowMachine(RuleBasedStateMachine):
    """The window beside a set of numbers that never forgets one."""

    def __init__(self):
        """Begin with nothing seen."""
        super().__init__()
        self.top, self.seen = 0, 0
        self.naive = set()

    @rule(number=NUMBERS)
    def offer_number(self, number):
        """Offer any number and mark it if it counts as new."""
        fresh = window.is_new_number(self.top, self.seen, number)
        if fresh:
            assert number not in self.naive, 'an old number counts as new'
        elif number not in self.naive:
            age = self.top - number
            assert age >= window.WINDOW_SIZE, 'a new number is refused'
        if fresh:
            self.top, self.seen = window.mark_number(
                self.top, self.seen, number
            )
            self.naive.add(number)

    @rule(back=st.integers(0, 2 * window.WINDOW_SIZE))
    def offer_near(self, back):
        """Offer a number close below the highest one."""
        self.offer_number(max(1, self.top - back))

    @precondition(lambda self: self.naive)
    @rule(pick=st.randoms(use_true_random=False))
    def offer_old(self, pick):
        """Offer a copy of a number seen before: it must never be new."""
        number = pick.choice(sorted(self.naive))
        assert not window.is_new_number(self.top, self.seen, number)

    @rule()
    def hand_over(self):
        """Move the window to another instance, as a planned stop does."""
        data = window.encode_seen(self.seen)
        self.seen = window.decode_seen(data)

    @invariant()
    def keep_top(self):
        """The highest number is the naive one's."""
        assert self.top == max(self.naive, default=0)


class TokenMachine(RuleBasedStateMachine):
    """Tokens under a rotating key ring beside a set of all minted ones."""

    tokens = Bundle('tokens')

    def __init__(self):
        """Begin with one signing key."""
        super().__init__()
        self.rng_byte = 1
        self.ring = {}
        self.minted = {}
        self.add_key()
        self.sign_newest()

    def add_key(self):
        """Publish one more key; it verifies and does not sign."""
        key_id = self.rng_byte
        self.rng_byte = key_id % 255 + 1
        secret = bytes([key_id]) * 32
        self.ring[key_id] = KeyCfg(key_id, secret, KeyStage.PUBLISHED)

    def sign_newest(self):
        """Sign with the newest key; the others verify."""
        newest = max(self.ring)
        for key in tuple(self.ring.values()):
            stage = (
                KeyStage.SIGNING if key.key_id == newest else KeyStage.RETIRING
            )
            self.ring[key.key_id] = KeyCfg(key.key_id, key.secret, stage)

    @precondition(lambda self: self.rng_byte < 200)
    @rule()
    def rotate_key(self):
        """Publish a key and sign with it."""
        self.add_key()
        self.sign_newest()

    @precondition(lambda self: len(self.ring) > 1)
    @rule()
    def retire_key(self):
        """Take the oldest key out of the ring."""
        del self.ring[min(self.ring)]

    @rule(
        target=tokens,
        flow=st.binary(min_size=16, max_size=16),
        epoch=st.integers(0, 2**64 - 1),
        service=NAMES,
        place=NAMES,
        home=NAMES,
        expiry=st.integers(0, 2**32 - 1),
    )
    def mint_one(self, flow, epoch, service, place, home, expiry):
        """Mint a token and remember what it says."""
        token = Token(flow, epoch, service, place, home, epoch, 3, expiry)
        key = pick_signing_key(self.ring)
        data = mint_token(key, token)
        self.minted[data] = (key.key_id, token)
        return data

    @rule(data=tokens)
    def verify_one(self, data):
        """A minted token says what it said, or its key is unknown here."""
        key_id, token = self.minted[data]
        if key_id in self.ring:
            assert verify_token(self.ring, data) == token
        else:
            assert self.find_code(data) is Code.PKT_KEY_UNKNOWN

    @rule(data=tokens, place=st.integers(0, 10**6), flip=st.integers(1, 255))
    def verify_flipped(self, data, place, flip):
        """A token with one byte changed never verifies."""
        forged = bytearray(data)
        forged[place % len(data)] ^= flip
        self.check_forged(bytes(forged))

    @rule(data=tokens, length=st.integers(0, 10**6))
    def verify_cut(self, data, length):
        """A token cut short never verifies."""
        self.check_forged(data[: length % len(data)])

    @rule(one=tokens, two=tokens, place=st.integers(0, 10**6))
    def verify_spliced(self, one, two, place):
        """Parts of two tokens never make a third."""
        cut = place % len(one)
        self.check_forged(one[:cut] + two[cut:])

    def check_forged(self, data):
        """Whatever was not minted is refused with a code."""
        if data not in self.minted:
            assert self.find_code(data) in {
                Code.PKT_TOKEN_FORGED,
                Code.PKT_KEY_UNKNOWN,
            }

    def find_code(self, data):
        """Return the code with which a token is refused, None if not."""
        try:
            verify_token(self.ring, data)
        except CodedError as exc:
            return exc.code
        return None
