"""Conversion of the package's types to and from protobuf messages."""

from types import MappingProxyType
from typing import Final

from masticstage import peer_pb2 as pb
from masticstage.outcomes import Answer, CallOutcome, Outcome
from masticstage.summaries import Summary
from masticstage.tickets import Verdict, WitnessAnswer
from masticstage.upstream_table import LoadReport

_KIND_BY_OUTCOME: Final = MappingProxyType(
    {
        Outcome.NOT_RUN: pb.NOT_RUN,
        Outcome.UNKNOWN: pb.UNKNOWN,
        Outcome.RAN: pb.RAN,
    }
)
_OUTCOME_BY_KIND: Final = MappingProxyType(
    {number: outcome for outcome, number in _KIND_BY_OUTCOME.items()}
)
_NUMBER_BY_VERDICT: Final = MappingProxyType(
    {
        Verdict.ACKNOWLEDGED: pb.WitnessReply.ACKNOWLEDGED,
        Verdict.SEALED: pb.WitnessReply.SEALED,
        Verdict.HELD: pb.WitnessReply.HELD,
        Verdict.REFUSED: pb.WitnessReply.REFUSED,
    }
)
_VERDICT_BY_NUMBER: Final = MappingProxyType(
    {number: verdict for verdict, number in _NUMBER_BY_VERDICT.items()}
)


def encode_report(report: LoadReport) -> pb.UpstreamRecord:
    """Encodes a load report."""
    return pb.UpstreamRecord(
        name=report.upstream,
        incarnation=report.incarnation,
        reported_at_ms=report.reported_ms,
        queued=report.queued,
        running=report.running,
        leaving=report.leaving,
    )


def decode_report(record: pb.UpstreamRecord) -> LoadReport:
    """Decodes a load report."""
    return LoadReport(
        record.name,
        record.incarnation,
        record.reported_at_ms,
        record.queued,
        record.running,
        record.leaving,
    )


def encode_summary(summary: Summary) -> pb.ServiceSummary:
    """Encodes a summary."""
    return pb.ServiceSummary(
        data_centre=summary.data_centre,
        service=summary.service,
        reported_at_ms=summary.reported_ms,
        wait_ms=summary.wait_ms,
        free_slots=summary.free_slots,
        slot_us=summary.slot_us,
    )


def decode_summary(message: pb.ServiceSummary) -> Summary:
    """Decodes a summary."""
    return Summary(
        message.data_centre,
        message.service,
        message.reported_at_ms,
        message.wait_ms,
        message.free_slots,
        message.slot_us,
    )


def encode_outcome(outcome: CallOutcome) -> pb.Outcome:
    """Encodes an outcome; without an answer, the status is 0."""
    message = pb.Outcome(kind=_KIND_BY_OUTCOME[outcome.outcome])
    if outcome.answer is not None:
        message.status = outcome.answer.status
        message.content_type = outcome.answer.content_type
        message.body = outcome.answer.body
    return message


def decode_outcome(message: pb.Outcome) -> CallOutcome:
    """Decodes an outcome; status 0 means no answer."""
    outcome = _OUTCOME_BY_KIND[message.kind]
    if not message.status:
        return CallOutcome(outcome)
    answer = Answer(message.status, message.content_type, message.body)
    return CallOutcome(outcome, answer)


def encode_witness_answer(answer: WitnessAnswer) -> pb.WitnessReply:
    """Encodes the answer of a witness."""
    return pb.WitnessReply(
        verdict=_NUMBER_BY_VERDICT[answer.verdict],
        outcome=encode_outcome(answer.outcome),
    )


def decode_witness_answer(reply: pb.WitnessReply) -> WitnessAnswer:
    """Decodes the answer of a witness."""
    return WitnessAnswer(
        _VERDICT_BY_NUMBER[reply.verdict],
        decode_outcome(reply.outcome),
    )
