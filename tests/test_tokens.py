"""Tests of signed tokens."""

import attrs
from returns.pipeline import is_successful

from masticstage.clock import ManualClock
from masticstage.tokens import Session, TokenSigner
from tests.builders import build_ticket

OLD = 'secret-number-one'
NEW = 'secret-number-two'
SESSION = Session('s.1', 'a-engine-0', 'a', 'team-north', 'model', 'open', 1)


def test_ticket_survives_signing():
    ticket = build_ticket(ManualClock())
    signer = TokenSigner((OLD,))
    token = signer.sign_ticket(ticket)
    assert signer.verify_ticket(token).unwrap() == ticket


def test_ticket_without_witness_survives_signing():
    ticket = build_ticket(ManualClock(), witness=None)
    signer = TokenSigner((OLD,))
    token = signer.sign_ticket(ticket)
    assert signer.verify_ticket(token).unwrap() == ticket


def test_token_of_the_former_secret_is_accepted():
    token = TokenSigner((OLD,)).sign_session(SESSION)
    rotated = TokenSigner((OLD, NEW))
    assert rotated.verify_session(token).unwrap() == SESSION


def test_token_of_an_unknown_secret_is_refused():
    token = TokenSigner((OLD,)).sign_session(SESSION)
    assert not is_successful(TokenSigner((NEW,)).verify_session(token))


def test_changed_token_is_refused():
    signer = TokenSigner((OLD,))
    forged = signer.sign_session(attrs.evolve(SESSION, team='team-south'))
    genuine = signer.sign_session(SESSION)
    forged_fields = forged.rpartition('.')[0]
    genuine_signature = genuine.rpartition('.')[2]
    mixed = f'{forged_fields}.{genuine_signature}'
    assert not is_successful(signer.verify_session(mixed))


def test_session_is_no_ticket():
    signer = TokenSigner((OLD,))
    token = signer.sign_session(SESSION)
    assert not is_successful(signer.verify_ticket(token))
