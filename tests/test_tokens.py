"""Tests of signed tokens."""

import attrs
from returns.pipeline import is_successful

from masticstage.clock import ManualClock
from masticstage.tokens import Session, TokenSigner
from tests.builders import build_ticket

OLD_SECRET = 'secret-number-one'
NEW_SECRET = 'secret-number-two'
SESSION = Session('s.1', 'a-engine-0', 'a', 'team-north', 'model', 'open', 1)


def test_ticket_is_decoded_as_signed():
    ticket = build_ticket(ManualClock())
    signer = TokenSigner((OLD_SECRET,))
    token = signer.sign_ticket(ticket)
    assert signer.verify_ticket(token).unwrap() == ticket


def test_ticket_without_witness_is_decoded_as_signed():
    ticket = build_ticket(ManualClock(), witness=None)
    signer = TokenSigner((OLD_SECRET,))
    token = signer.sign_ticket(ticket)
    assert signer.verify_ticket(token).unwrap() == ticket


def test_token_of_the_previous_secret_is_accepted():
    token = TokenSigner((OLD_SECRET,)).sign_session(SESSION)
    rotated = TokenSigner((OLD_SECRET, NEW_SECRET))
    assert rotated.verify_session(token).unwrap() == SESSION


def test_token_of_an_unknown_secret_is_refused():
    token = TokenSigner((OLD_SECRET,)).sign_session(SESSION)
    assert not is_successful(TokenSigner((NEW_SECRET,)).verify_session(token))


def test_forged_token_is_refused():
    signer = TokenSigner((OLD_SECRET,))
    forged = signer.sign_session(attrs.evolve(SESSION, team='team-south'))
    genuine = signer.sign_session(SESSION)
    forged_fields = forged.rpartition('.')[0]
    genuine_signature = genuine.rpartition('.')[2]
    tampered = f'{forged_fields}.{genuine_signature}'
    assert not is_successful(signer.verify_session(tampered))


def test_session_token_is_not_accepted_as_ticket():
    signer = TokenSigner((OLD_SECRET,))
    token = signer.sign_session(SESSION)
    assert not is_successful(signer.verify_ticket(token))
