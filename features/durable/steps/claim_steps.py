"""Steps about claims of orders."""

import trio
from behave import given, then, when

from crocusvalve.base import CustomerId, RequestId
from crocusvalve.durable import ClaimState, ClaimStore
from crocusvalve.exceptions import PlatformError, RefusedError
from crocusvalve.standin import MemoryPlatform, PlatformFaults
from features.support.virtual_platform import TrioClock, make_client, make_faults, run_orders

CUSTOMER = CustomerId("m/c")


class ClaimSubject:
    """A claim store over a platform in memory."""

    def start(self):
        self.platform = MemoryPlatform(clock=TrioClock())
        self.store = ClaimStore(make_client(self.platform, "s")[0])

    async def claim(self, request_id, *, digest="d", customer=CUSTOMER):
        return await self.store.claim(
            customer,
            "k",
            request_id=RequestId(request_id),
            digest=digest,
            deadline=100.0,
            now=trio.current_time(),
        )

    def run(self, work):
        async def main():
            self.start()
            return await work()

        self.results = run_orders(main)

    def check(self, expected):
        assert all(result == expected for result in self.results), self.results


@given("a claim store")
def given_store(context):
    context.claims = ClaimSubject()


@when('the fault "{fault}" is in force while order r1 claims key k')
def when_claims(context, fault):
    subject = context.claims

    async def work():
        subject.platform.faults = make_faults(fault)
        try:
            first = "new" if (await subject.claim("r1")).is_new else "found"
        except RefusedError as exc:
            first = f"refused, {exc.ran.value}"
        subject.platform.faults = PlatformFaults()
        await subject.store.void_pending()
        repeat = await subject.claim("r2")
        return first, "claims the key" if repeat.is_new else f"finds {repeat.record.request_id}"

    subject.run(work)


@then("the claim is {result}")
def then_claim(context, result):
    assert {first for first, _ in context.claims.results} == {result}, context.claims.results


@then("once the store is well, the caller's repeat as r2 {repeat}")
def then_repeat(context, repeat):
    assert {second for _, second in context.claims.results} == {repeat}, context.claims.results


@when("order r1's claim is given up and lands after the key was made free")
def when_lands_late(context):
    subject = context.claims

    async def work():
        platform = subject.platform
        sent = []

        async def hold_back(writes):
            sent.append(writes)
            raise PlatformError("no answer", maybe_applied=True)

        transact, platform.transact = platform.transact, hold_back
        try:
            await subject.claim("r1")
        except RefusedError:
            platform.transact = transact
        await subject.store.void_pending()
        await platform.transact(sent[0])
        state = (await subject.store.get(CUSTOMER, "k")).record.state
        return state, (await subject.claim("r2")).is_new

    subject.run(work)


@then("the key is void, and order r2 claims it")
def then_void(context):
    context.claims.check((ClaimState.VOID, True))


@when("orders r1 and r2 claim key k at once")
def when_at_once(context):
    subject = context.claims

    async def work():
        claims = []

        async def claim(request_id):
            claims.append(await subject.claim(request_id))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(claim, "r1")
            nursery.start_soon(claim, "r2")
        n_orders = len({claim.record.request_id for claim in claims})
        return sum(claim.is_new for claim in claims), n_orders

    subject.run(work)


@then("exactly one claim is new and both name the same order")
def then_one(context):
    context.claims.check((1, 1))


@when("order r1 claims key k and another order comes under it")
def when_other(context):
    subject = context.claims

    async def work():
        await subject.claim("r1")
        try:
            await subject.claim("r2", digest="other")
        except RefusedError as exc:
            return exc.code.code, exc.ran.value

    subject.run(work)


@then('the other order is refused with "{code}"')
def then_refused(context, code):
    context.claims.check((code, "not_run"))


@when('order r1 claims key k and ends with status {status:d} and "{body}"')
def when_ends(context, status, body):
    subject = context.claims

    async def work():
        claim = await subject.claim("r1")
        await subject.store.end(claim, ClaimState.ENDED, status=status, body=body.encode())
        found = await subject.claim("r2")
        other = await subject.claim("r3", customer=CustomerId("m/other"))
        record = found.record
        return (record.state.value, record.status, record.body.decode(), found.is_new), other.is_new

    subject.run(work)


@then('a repeat finds "{state}" with status {status:d} and "{body}"')
def then_answer(context, state, status, body):
    assert {first for first, _ in context.claims.results} == {(state, status, body, False)}


@then("another customer's order under the same key is new")
def then_other_customer(context):
    assert all(is_new for _, is_new in context.claims.results)
