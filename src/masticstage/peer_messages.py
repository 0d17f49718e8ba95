"""Conversions between peer messages and the types of the decisions."""

from types import MappingProxyType
from typing import Final

from masticstage import peer_pb2 as pb
from masticstage.outcomes import Answer, CallOutcome, Outcome
from masticstage.summaries import Summary
from masticstage.tickets import Verdict, WitnessAnswer
from masticstage.upstream_table import LoadReport

_KINDS: Final = MappingProxyType(
    {
        Outcome.NOT_RUN: pb.NOT_RUN,
        Outcome.UNKNOWN: pb.UNKNOWN,
        Outcome.RAN: pb.RAN,
    }
)
_OUTCOMES: Final = MappingProxyType(
    {number: outcome for outcome, number in _KINDS.items()}
)
_VERDICTS: Final = MappingProxyType(
    {
        Verdict.ACKNOWLEDGED: pb.WitnessReply.ACKNOWLEDGED,
        Verdict.SEALED: pb.WitnessReply.SEALED,
        Verdict.HELD: pb.WitnessReply.HELD,
        Verdict.REFUSED: pb.WitnessReply.REFUSED,
    }
)
_FROM_VERDICTS: Final = MappingProxyType(
    {number: verdict for verdict, number in _VERDICTS.items()}
)


def encode_report(report: LoadReport) -> pb.UpstreamRecord:
    """Returns the message form of a load report."""
    return pb.UpstreamRecord(
        name=report.upstream,
        incarnation=report.incarnation,
        reported_at_ms=report.reported_ms,
        queued=report.queued,
        running=report.running,
        leaving=report.leaving,
    )


def decode_report(record: pb.UpstreamRecord) -> LoadReport:
    """Returns the load report of a message."""
    return LoadReport(
        record.name,
        record.incarnation,
        record.reported_at_ms,
        record.queued,
        record.running,
        record.leaving,
    )


def encode_summary(summary: Summary) -> pb.ServiceSummary:
    """Returns the message form of a summary."""
    return pb.ServiceSummary(
        data_centre=summary.data_centre,
        service=summary.service,
        reported_at_ms=summary.reported_ms,
        wait_ms=summary.wait_ms,
        free_slots=summary.free_slots,
        slot_us=summary.slot_us,
    )


def decode_summary(message: pb.ServiceSummary) -> Summary:
    """Returns the summary of a message."""
    return Summary(
        message.data_centre,
        message.service,
        message.reported_at_ms,
        message.wait_ms,
        message.free_slots,
        message.slot_us,
    )


def encode_outcome(outcome: CallOutcome) -> pb.Outcome:
    """Returns the message form of an outcome."""
    message = pb.Outcome(kind=_KINDS[outcome.outcome])
    if outcome.answer is not None:
        message.status = outcome.answer.status
        message.content_type = outcome.answer.content_type
        message.body = outcome.answer.body
    return message


def decode_outcome(message: pb.Outcome) -> CallOutcome:
    """Returns the outcome of a message; status 0 means no answer."""
    outcome = _OUTCOMES[message.kind]
    if not message.status:
        return CallOutcome(outcome)
    answer = Answer(message.status, message.content_type, message.body)
    return CallOutcome(outcome, answer)


def encode_witness_answer(answer: WitnessAnswer) -> pb.WitnessReply:
    """Returns the message form of a witness's answer."""
    return pb.WitnessReply(
        verdict=_VERDICTS[answer.verdict],
        outcome=encode_outcome(answer.outcome),
    )


def decode_witness_answer(reply: pb.WitnessReply) -> WitnessAnswer:
    """Returns the witness's answer of a message."""
    return WitnessAnswer(
        _FROM_VERDICTS[reply.verdict],
        decode_outcome(reply.outcome),
    )
