"""Steps for the memory of the answers that an entry holds, with its core and no network."""

import random

import xxhash
from behave import given, then, when

from crocusvalve.base import BootId, ClassKind, ExecutionStatus, NodeId, Revision, UpstreamState
from crocusvalve.config import DocumentView
from crocusvalve.entry import CoreTables, EntryCore, Policies
from crocusvalve.entry._commands import CancelAttempt, Deliver, StartAttempt
from crocusvalve.membership import merge_load_report
from crocusvalve.rpc import Final, Frame, LoadReport, Refused, Usage
from features.core_builders import NOW, make_document, make_request

PART = 65536 * b"x"
MAX_ANSWER_BYTES = 8 * 2**20


class HeldAnswerSubject:
    """The core of an entry, and the frames of the attempts that it starts."""

    def __init__(self, n_endless, n_sound):
        view = DocumentView(make_document(1), Revision(1))
        self.tables = CoreTables(view)
        self.core = EntryCore(
            tables=self.tables,
            policies=Policies(random_state=random.Random(1)),
            node_id=NodeId("entry-1"),
        )
        self.add_upstream()
        self.endless = [f"endless-{i}" for i in range(n_endless)]
        self.sound = [f"sound-{i}" for i in range(n_sound)]
        self.attempts, self.sent = {}, {}
        self.cancelled, self.delivered = set(), {}
        self.n_max = 0
        for name in self.sound + self.endless:
            self.execute(self.core.submit(self.make_request(name), NOW))

    def add_upstream(self):
        (upstream_id,) = self.tables.view.upstreams
        self.tables.upstreams[upstream_id].in_subset = True
        report = LoadReport(
            upstream_id=upstream_id,
            boot_id=BootId("b"),
            state=UpstreamState.WARM,
            in_flight=0,
            limit=100,
            queued=0,
            ewma_service_s=0.1,
            revision=Revision(1),
            at=NOW,
        )
        merge_load_report(self.tables, report, NOW)

    @staticmethod
    def make_request(name):
        return make_request(
            name, kind=ClassKind.ANSWER, is_stream=False, deadline=NOW + 30.0, digest=name
        )

    def execute(self, commands):
        for cmd in commands:
            if isinstance(cmd, StartAttempt):
                run = cmd.run
                request_id = self.tables.attempts[run.attempt_id].request_id
                self.attempts[request_id] = run.attempt_id
                self.sent[run.attempt_id] = []
            elif isinstance(cmd, CancelAttempt):
                self.cancelled.add(cmd.attempt_id)
            elif isinstance(cmd, Deliver):
                self.delivered[cmd.request_id] = cmd.data

    def feed(self, attempt_id, event):
        self.execute(self.core.handle_event(attempt_id, event, NOW + 1.0))
        held = sum(len(p) for row in self.tables.progress.values() for p in row.buffer)
        self.n_max = max(self.n_max, held)

    def send_part(self, name):
        """Send one part of an answer; return whether its attempt still runs."""
        attempt_id = self.attempts[name]
        if attempt_id not in self.tables.attempts:
            return False
        sent = self.sent[attempt_id]
        self.feed(attempt_id, Frame(attempt_id, len(sent), PART))
        sent.append(PART)
        return len(sent) * len(PART) < MAX_ANSWER_BYTES

    def finish(self, name):
        attempt_id = self.attempts[name]
        data = b"".join(self.sent[attempt_id])
        final = Final(
            attempt_id=attempt_id,
            n_frames=len(self.sent[attempt_id]),
            digest=xxhash.xxh3_128(data).hexdigest(),
            usage=Usage(),
            finish_reason="stop",
            service_s=0.1,
        )
        self.feed(attempt_id, final)

    def fail(self, name):
        attempt_id = self.attempts[name]
        refused = Refused(
            attempt_id=attempt_id,
            code="UPSTREAM_FAILED",
            message="the answer is too long",
            ran=ExecutionStatus.UNKNOWN,
            step="run",
            peer="d/u0",
        )
        self.feed(attempt_id, refused)


@given("an entry whose {n:d} requests are answered without end, and {n_sound:d} others soundly")
def given_entry(context, n, n_sound):
    context.subject = HeldAnswerSubject(n, n_sound)
    assert len(context.subject.attempts) == n + n_sound, context.subject.attempts


@when("each upstream sends parts of 65536 bytes in turn, up to 8 MiB each, and the sound ones end")
def when_parts(context):
    subject = context.subject
    running = subject.sound + subject.endless
    for name in running:
        subject.send_part(name)
    while running := [name for name in running if name in subject.endless]:
        running = [name for name in running if subject.send_part(name)]
    for name in subject.sound:
        subject.finish(name)
    for name in subject.endless:
        if subject.attempts[name] in subject.tables.attempts:
            subject.fail(name)
    subject.execute(subject.core.tick(NOW + 40.0))


@when("an upstream sends 65536 bytes, and then {end}")
def when_end(context, end):
    subject = context.subject
    subject.send_part("endless-0")
    if end == "the answer ends":
        subject.finish("endless-0")
    elif end == "the attempt fails":
        subject.fail("endless-0")
    elif end == "the caller disconnects":
        subject.execute(subject.core.abandon("endless-0", NOW + 1.0))
    else:
        subject.execute(subject.core.tick(NOW + 31.0))


@then("the entry has held at most 24 MiB, and holds nothing at the end")
def then_bounded(context):
    subject = context.subject
    # The part that exceeds the bound is held when it is counted.
    assert 0 < subject.n_max <= 24 * 2**20 + len(PART), subject.n_max
    assert subject.tables.held_answers.n_bytes == 0, subject.tables.held_answers.n_bytes


@then("the {n:d} sound answers have been delivered")
def then_delivered(context, n):
    assert set(context.subject.delivered) == set(context.subject.sound), context.subject.delivered
    assert len(context.subject.sound) == n


@then("each dropped attempt was cancelled at its agent")
def then_cancelled(context):
    subject = context.subject
    dropped = {
        attempt_id
        for attempt_id, sent in subject.sent.items()
        if 0 < len(sent) * len(PART) < MAX_ANSWER_BYTES
        and attempt_id not in {subject.attempts[name] for name in subject.sound}
    }
    assert dropped <= subject.cancelled, dropped - subject.cancelled
