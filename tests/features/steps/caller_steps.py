"""Steps on callers, strangers and forwarded calls."""

from __future__ import annotations

import asyncio
import http.client
import json
import socket
import time

import openai
from behave import given, then, when

from cluster import processes
from features.steps import cluster_steps
from godwittack.core import effects
from godwittack.daemon import observer
from godwittack.peer import datagram, exchange, peer_pb2

SMUGGLED = {
    "X-Workspace": "fair",
    "X-Incarnation": "mine",
    "X-Weights-Version": "9",
    "X-Stream-Id": "mine",
    "X-Cache-Levels": "1:1",
    "X-Priority": "-100",
}


def client(context, token="token-desk") -> openai.OpenAI:
    """Returns the registry's client for the first daemon."""
    return openai.OpenAI(
        base_url=context.cluster.url("entry-1", "/v1"),
        api_key=token,
        max_retries=0,
    )


ASK = [{"role": "user", "content": "Does it qualify?"}]


@when("the OpenAI client asks for a whole and for a streamed chat completion")
def ask_both(context):
    """Makes both calls."""
    create = client(context).chat.completions.create
    whole = create(model="rulebook", messages=ASK, max_tokens=12)
    stream = create(model="rulebook", messages=ASK, max_tokens=12, stream=True)
    context.whole = whole.choices[0].message.content
    context.streamed = "".join(
        chunk.choices[0].delta.content or "" for chunk in stream
    )


@then("both answers are whole")
def both_whole(context):
    """Compares the texts."""
    wanted = "".join(f"t{n} " for n in range(1, 13))
    assert context.whole == wanted, context.whole
    assert context.streamed == wanted, context.streamed


@then("the models are listed")
def models_listed(context):
    """Lists the models."""
    names = [model.id for model in client(context).models.list()]
    assert names == ["rulebook"], names


@then('a wrong model is a NotFoundError with outcome "{outcome}"')
def wrong_model(context, outcome):
    """Asks for a model without a row."""
    try:
        client(context).chat.completions.create(model="no", messages=ASK)
    except openai.NotFoundError as error:
        told = error.response.json()
        assert told["outcome"] == outcome, told
        return
    raise AssertionError("no error")


@then("a wrong token is an AuthenticationError")
def wrong_token(context):
    """Asks with a token of nobody."""
    try:
        client(context, "nobody").models.list()
    except openai.AuthenticationError:
        return
    raise AssertionError("no error")


@when("the OpenAI client reads a stream whose engine crashes")
def read_crashing(context):
    """Crashes the engine after some chunks."""
    context.error = None
    stream = client(context).chat.completions.create(
        model="rulebook", messages=ASK, max_tokens=400, stream=True
    )
    try:
        for number, _ in enumerate(stream):
            if number == 5:
                url = context.cluster.url("engine-1", "/fault/restart")
                processes.call("POST", url)
    except openai.APIError as error:
        context.error = error


@then("the client raises an APIError")
def raises_api_error(context):
    """Checks the error."""
    assert context.error is not None


@given("a daemon that takes bodies of {limit:d} bytes within {wait_ms:d} ms")
def small_bodies(context, limit, wait_ms):
    """Starts a cluster with small limits."""
    cluster_steps.start_cluster(
        context,
        1,
        engines=1,
        max_body_bytes=limit,
        body_timeout_ms=wait_ms,
    )


@when("wrong bodies are sent")
def wrong_bodies(context):
    """Sends each body of the table."""
    url = context.cluster.url("entry-1", "/v1/chat/completions")
    context.results = []
    for row in context.table:
        got = processes.call(
            "POST", url, row["body"].encode(), cluster_steps.auth(context)
        )
        context.results.append((row["status"], got[0], json.loads(got[2])))


@then("each is refused as not run with its status")
def refused_with_status(context):
    """Checks the refusals."""
    for wanted, status, told in context.results:
        assert status == int(wanted), (wanted, status, told)
        assert told["outcome"] == "not_run", told


@then("a body that is too long gets 413")
def too_long(context):
    """Sends a long body, with and without a length."""
    url = context.cluster.url("entry-1", "/v1/chat/completions")
    body = b"x" * 30_000
    status, _, _ = processes.call(
        "POST", url, body, cluster_steps.auth(context)
    )
    assert status == 413, status


@then("a body that never ends gets 408")
def never_ends(context):
    """Promises more bytes than it sends."""
    port = context.cluster.ports["entry-1"]
    with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
        sock.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer token-desk\r\n"
            b"Content-Length: 1000\r\n\r\n{"
        )
        assert b" 408 " in sock.recv(4096).split(b"\r\n")[0]


@when("a PATCH with a query, own headers and smuggled headers is sent")
def patch_call(context):
    """Makes the call by hand, so that nothing is added."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.cluster.ports["entry-1"], timeout=20
    )
    headers = {
        **cluster_steps.auth(context),
        **SMUGGLED,
        "Idempotency-Key": "patch-1",
        "Connection": "close, X-Hop",
        "X-Hop": "1",
        "X-Own": "kept",
        "Content-Type": "text/odd",
    }
    connection.request(
        "PATCH", "/svc/portal/a%2Fb/c?x=1&y=%20", b"body", headers
    )
    context.response = connection.getresponse()
    context.told = json.loads(context.response.read())
    seen = context.cluster.counts("portal-1")["headers"]
    context.seen = {name: value for name, value in seen}


@then("the service saw method, path and own headers")
def saw_call(context):
    """Checks the service's own account."""
    assert context.told["method"] == "PATCH"
    assert context.told["path"] == "/a%2Fb/c?x=1&y=%20", context.told
    assert context.seen["x-own"] == "kept"
    assert context.seen["content-type"] == "text/odd"


@then("the service saw none of the smuggled headers")
def saw_no_smuggled(context):
    """Checks the service's own account."""
    hidden = {name.lower() for name in SMUGGLED}
    hidden |= {"authorization", "x-hop"}
    assert not hidden & context.seen.keys(), context.seen


@then("the caller got the service's own headers")
def got_headers(context):
    """Checks the answer."""
    assert context.response.status == 200
    assert context.response.headers["x-service"] == "stand-in"


@when("a POST without a key is sent")
def post_without_key(context):
    """Makes the call."""
    url = context.cluster.url("entry-1", "/svc/portal/claims")
    context.got = processes.call(
        "POST", url, {"a": 1}, cluster_steps.auth(context)
    )


@then('it is refused with status {status:d} and reason "{reason}"')
def refused_reason(context, status, reason):
    """Checks the refusal."""
    told = json.loads(context.got[2])
    assert (context.got[0], told["reason"]) == (status, reason), told


@then("a key used again for another body gets 422")
def key_reused(context):
    """Sends one key with two bodies."""
    url = context.cluster.url("entry-1", "/svc/portal/claims")
    headers = {**cluster_steps.auth(context), "idempotency-key": "twice"}
    first = processes.call("POST", url, {"a": 1}, headers)
    other = processes.call("POST", url, {"a": 2}, headers)
    assert (first[0], other[0]) == (200, 422), (first, other)


def _generate(context, headers):
    url = context.cluster.url("entry-1", "/v1/chat/completions")
    body = {"model": "rulebook", "messages": ASK, "max_tokens": 1}
    return processes.call("POST", url, body, headers)


@then("a generation without a token gets {status:d}")
def no_token(context, status):
    """Asks without a token."""
    assert _generate(context, {})[0] == status


@then("a generation with an operator's token gets {status:d}")
def operator_token(context, status):
    """Asks with an operator's token."""
    headers = {"authorization": "Bearer operator-ana"}
    assert _generate(context, headers)[0] == status


@then("where with another workspace's name gets {status:d}")
def foreign_where(context, status):
    """Asks where for another workspace."""
    url = context.cluster.url("entry-1", "/v1/where?workspace=fair")
    got = processes.call("GET", url, headers=cluster_steps.auth(context))
    assert got[0] == status


@then("each operator call with a workspace's token gets {status:d}")
def operator_calls(context, status):
    """Asks every operator path."""
    for path in ("table", "history", "status", "report"):
        url = context.cluster.url("entry-1", f"/operator/{path}")
        got = processes.call("GET", url, headers=cluster_steps.auth(context))
        assert got[0] == status, path
    url = context.cluster.url("entry-1", "/operator/table")
    got = processes.call("POST", url, {}, cluster_steps.auth(context))
    assert got[0] == status


@then("a peer without the secret is refused")
def stranger_peer(context):
    """Sends an envelope with another secret."""
    address = f"127.0.0.1:{context.cluster.peer_ports['entry-1']}"

    async def send():
        peers = exchange.PeerClient(secret=b"x" * 32, timeout_ms=5_000)
        got = await peers.exchange(
            address,
            peer_pb2.Envelope(sender=peer_pb2.Member(member_id="stranger")),
        )
        await peers.close()
        return got

    got = asyncio.run(send())
    assert "status 401" in got.err_value.detail, got
    assert "stranger" not in context.cluster.ready("entry-1")["members"]


@then("a datagram without the secret gets no answer, with it one")
def stranger_datagram(context):
    """Probes with a wrong secret, then with the right one."""
    right = (context.cluster.path / "secret").read_bytes().strip()
    assert not asyncio.run(_probe(context, b"x" * 32)).is_ok()
    assert asyncio.run(_probe(context, right)).is_ok()
    assert "stranger" not in context.cluster.ready("entry-1")["members"]


async def _probe(context, secret):
    peers = datagram.DatagramPeers(secret=secret, timeout_ms=2_000)
    await peers.start("127.0.0.1:0", handler=None)
    sender = peer_pb2.Member()
    if secret.startswith(b"x"):
        sender.member_id = "stranger"
        sender.peer_address = "127.0.0.1:1"
    address = f"127.0.0.1:{context.cluster.peer_ports['entry-1']}"
    try:
        return await peers.exchange(address, peer_pb2.Envelope(sender=sender))
    finally:
        peers.close()


@then("the log holds no token")
def no_token_in_log(context):
    """Searches the log."""
    log = context.cluster.log("entry-1")
    for secret in ("token-desk", "operator-ana", context.cluster.secret[:20]):
        assert secret not in log, secret


@when("a generation with smuggled state headers is sent")
def smuggle_to_engine(context):
    """Sends the daemon's own header names."""
    headers = {**cluster_steps.auth(context), **SMUGGLED}
    assert _generate(context, headers)[0] == 200


@then("the engine saw the daemon's own state headers once each")
def engine_saw(context):
    """Checks the engine's own account."""
    counts = context.cluster.counts("engine-1")
    for name in SMUGGLED:
        values = [v for k, v in counts["headers"] if k == name.lower()]
        assert len(values) == 1 and values[0] != SMUGGLED[name], (name, values)
    workspace = [v for k, v in counts["headers"] if k == "x-workspace"]
    assert workspace == ["desk"], workspace


@then("a log line quotes line breaks")
def quoted_lines(context):
    """Forms a line with a value that came from outside."""
    del context
    event = effects.Event(
        "x", "", (effects.Field("detail", "a\nevent=forged b=1"),)
    )
    text = observer.format_line(event)
    assert "\n" not in text and text.endswith('"'), text


@when("streams and submissions are served")
def serve_some(context):
    """Makes a few calls of each kind."""
    for number in range(5):
        assert _generate(context, cluster_steps.auth(context))[0] == 200
        status, _ = cluster_steps.send_key(context, f"k{number}", daemon=1)
        assert status == 200
    # The recording's last lines are written as the calls end.
    time.sleep(0.3)
