"""Quotas at a gateway: when it asks for tokens, and what it does without any."""

from endivewick_core.gateway import events as ev
from endivewick_core.gateway import quota_tokens, quotas
from endivewick_core.messages import (
    ForwardedStatement,
    QuotaAnswer,
    QuotaQuestion,
    TokenAnswer,
)
from endivewick_core.routes import Freshness, Tenant
from endivewick_core.statements import Fault, Statement, StatementKind, TransactionState
from gateway_driver import CONTROL, PRIMARY, ready_gateway, route
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

K = StatementKind
TENANT = "bode"
OTHER = "free"


def limited_gateway(rate_per_s=5.0, **changes):
    tenants = {TENANT: Tenant(TENANT, 0, rate_per_s, 5), OTHER: Tenant(OTHER, 0, None, 0)}
    names = {TENANT: TENANT, OTHER: OTHER}  # each key is its tenant's name
    return ready_gateway(tenants=tenants, tenant_names=names, **changes)


def open_session(gateway, number, workspace="session", tenant=TENANT):
    return gateway.session(number, workspace, tenant)


def questions(gateway):
    return [item for item in gateway.messages if isinstance(item.message, QuotaQuestion)]


def answer(gateway, question, tokens=0, boot="b", **fields):
    item = TokenAnswer(tokens, **fields)
    reply = QuotaAnswer(boot, question.message.sequence, {TENANT: item})
    gateway.handle(ev.MessageReceived(gateway.now_ms, reply))


def test_an_operation_without_a_token_asks_at_once_and_runs_with_the_answer():
    """It must not wait for the next tick or poll."""
    gateway = limited_gateway()
    request_id = gateway.send(open_session(gateway, 1), K.READ)
    assert_that(gateway.find_sent(request_id), Equals(None))
    asked = questions(gateway)
    assert_that(
        [(item.address, item.message.needs) for item in asked],
        Equals([(CONTROL, {TENANT: (1, 0)})]),
    )
    answer(gateway, asked[0], 1)
    assert_that(gateway.find_sent(request_id) is not None, Equals(True))


def test_without_limited_tenants_nothing_is_asked():
    """Earlier deployments must be served exactly as before."""
    for gateway in (ready_gateway(), ready_gateway(tenants={}), limited_gateway()):
        request_id = gateway.send(open_session(gateway, 1, tenant=OTHER), K.READ)
        gateway.tick()
        assert_that(gateway.find_sent(request_id) is not None, Equals(True))
        assert_that(questions(gateway), Equals([]))


def test_a_transaction_takes_one_token():
    gateway = limited_gateway()
    session = open_session(gateway, 1, "strict")
    gateway.send(session, K.BEGIN)
    assert_that(questions(gateway), Equals([]))
    request_id = gateway.send(session, K.WRITE)
    answer(gateway, questions(gateway)[0], 1)
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request_id))
    for kind in (K.READ, K.COMMIT):
        request_id = gateway.send(session, kind)
        gateway.reply(gateway.find_sent(request_id))
    assert_that(len(questions(gateway)), Equals(1))


def test_the_statement_of_another_gateway_takes_no_token():
    """Its own gateway took one; two for one operation would halve the limit."""
    gateway = limited_gateway()
    statement = Statement(K.READ, "r-remote", "read a")
    message = ForwardedStatement(
        "10.0.0.7:7000",
        "b7",
        1,
        1,
        statement,
        route("bounded", Freshness.BOUNDED),
        TransactionState.IDLE.value,
        False,
        False,
        {},
        None,
        None,
        1,
        500,
    )
    gateway.handle(ev.MessageReceived(gateway.now_ms, message))
    assert_that(gateway.find_sent("r-remote") is not None, Equals(True))
    assert_that(questions(gateway), Equals([]))


def test_a_tenant_at_its_limit_is_refused_with_a_time_that_is_spread():
    """Refused clients that all come back at the same moment would be refused together again."""
    gateway = limited_gateway()
    for number in range(1, 9):
        gateway.send(open_session(gateway, number), K.READ)
    for question in questions(gateway):
        answer(gateway, question, refused=1, retry_after_ms=400)
    errors = [item.error for item in gateway.answers if item.error is not None]
    assert_that({item.fault for item in errors}, Equals({Fault.BUSY}))
    assert_that(len(errors), Equals(8))
    assert_that(min(item.retry_after_ms for item in errors), Equals(400))
    assert_that(len({item.retry_after_ms for item in errors}), Equals(8))
    before = len(questions(gateway))
    gateway.send(open_session(gateway, 20), K.READ)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.BUSY))
    assert_that(len(questions(gateway)), Equals(before))


def test_tokens_expire_after_the_time_at_which_they_were_asked_for():
    """A frozen gateway must not run operations with tokens of long ago."""
    gateway = limited_gateway()
    first = open_session(gateway, 1)
    gateway.send(first, K.READ)
    asked = questions(gateway)[0]
    gateway.now_ms += quota_tokens.TOKEN_LIFETIME_MS
    answer(gateway, asked, 3)
    assert_that(len(gateway.state.quotas.tenants[TENANT].stock), Equals(0))
    assert_that(len(gateway.state.quotas.tenants[TENANT].waiting), Equals(1))
    assert_that([item for item in gateway.sent if item.statement.request_id != "-"], Equals([]))


def test_the_answer_to_a_process_that_has_been_restarted_is_dropped():
    """Sequence numbers start again, so its tokens would count from a wrong time."""
    gateway = limited_gateway()
    gateway.send(open_session(gateway, 1), K.READ)
    answer(gateway, questions(gateway)[0], 1, boot="earlier")
    assert_that([item for item in gateway.sent if item.statement.request_id != "-"], Equals([]))


def test_a_lost_question_is_repeated():
    gateway = limited_gateway()
    request_id = gateway.send(open_session(gateway, 1), K.READ)
    for _ in range(quotas.REPEAT_MS // 20 + 1):
        gateway.tick()
    asked = questions(gateway)
    assert_that(len(asked), Equals(2))
    answer(gateway, asked[-1], 1)
    assert_that(gateway.find_sent(request_id) is not None, Equals(True))


def test_a_question_that_could_not_be_sent_is_repeated_with_the_next_tick():
    gateway = limited_gateway()
    gateway.send(open_session(gateway, 1), K.READ)
    asked = questions(gateway)[0]
    gateway.handle(ev.MessageUndelivered(gateway.now_ms, asked.address, asked.message))
    gateway.tick()
    assert_that(len(questions(gateway)), Equals(2))


def test_without_control_operations_are_refused_when_their_time_is_over():
    """They must not run without tokens."""
    gateway = limited_gateway()
    gateway.send(open_session(gateway, 1), K.READ)
    for _ in range(60):
        gateway.tick()
    errors = [item.error for item in gateway.answers if item.error is not None]
    assert_that([item.fault for item in errors], Equals([Fault.BUSY]))


def test_the_token_of_an_operation_that_was_refused_unsent_is_used_by_the_next():
    """Otherwise operations below the limit are lost with it."""
    gateway = limited_gateway()
    gateway.state.primaries.clear()
    gateway.send(open_session(gateway, 1, "strict"), K.READ)
    asked = questions(gateway)[0]
    answer(gateway, asked, 1)
    request = next(iter(gateway.state.requests.values()))
    request.deadline_ms = gateway.now_ms + 20
    gateway.tick()
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.BUSY))
    gateway.state.primaries["orders"] = PRIMARY
    request_id = gateway.send(open_session(gateway, 2), K.READ)
    assert_that(gateway.find_sent(request_id) is not None, Equals(True))
    assert_that(len(questions(gateway)), Equals(1))


def test_an_operation_that_was_queued_until_its_token_expired_takes_another():
    """Operations that waited for connections would otherwise run together later."""
    gateway = limited_gateway()
    gateway.state.primaries.clear()
    request_id = gateway.send(open_session(gateway, 1, "strict"), K.READ)
    answer(gateway, questions(gateway)[0], 1)
    for _ in range(quota_tokens.TOKEN_LIFETIME_MS // 20 + 1):
        gateway.tick()
    gateway.state.primaries["orders"] = PRIMARY
    gateway.tick()
    assert_that(gateway.find_sent(request_id), Equals(None))
    assert_that(len(questions(gateway)), GreaterThan(1))
    answer(gateway, questions(gateway)[-1], 1)
    assert_that(gateway.find_sent(request_id) is not None, Equals(True))


def test_tokens_are_fetched_ahead_for_a_large_tenant():
    """Its operations find tokens in stock and wait for no message."""
    gateway = limited_gateway(rate_per_s=200.0)
    for number in range(1, 41):
        gateway.send(open_session(gateway, number), K.READ)
        for question in questions(gateway):
            need = question.message.needs[TENANT]
            if question.message.sequence in gateway.state.quotas.tenants[TENANT].outstanding:
                answer(gateway, question, need.waiting + need.expected)
        gateway.tick()
    tokens = gateway.state.quotas.tenants[TENANT]
    assert_that(len(tokens.stock), GreaterThan(0))
    gateway.send(open_session(gateway, 100), K.READ)
    assert_that(len(tokens.waiting), Equals(0))


def test_operations_start_when_their_tenant_has_no_limit_any_more():
    gateway = limited_gateway()
    request_id = gateway.send(open_session(gateway, 1), K.READ)
    tenants = {TENANT: Tenant(TENANT, 0, None, 0)}
    newer = gateway.state.configuration._replace(version=2, tenants=tenants)
    gateway.handle(ev.ConfigurationReceived(gateway.now_ms, newer))
    gateway.tick()
    assert_that(gateway.find_sent(request_id) is not None, Equals(True))
