"""Steps on callers, unauthorized access and forwarded calls."""

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

# Headers that only a daemon may set towards backend servers.
FORGED_HEADERS = {
    "X-Workspace": "fair",
    "X-Incarnation": "mine",
    "X-Weights-Version": "9",
    "X-Stream-Id": "mine",
    "X-Cache-Levels": "1:1",
    "X-Priority": "-100",
}


def client(context, token="token-desk") -> openai.OpenAI:
    """Returns an OpenAI client of the first daemon."""
    return openai.OpenAI(
        base_url=context.cluster.url("entry-1", "/v1"),
        api_key=token,
        max_retries=0,
    )


MESSAGES = [{"role": "user", "content": "Does it qualify?"}]


@when("the OpenAI client makes a plain and a streamed chat completion")
def complete_plain_and_streamed(context):
    """Makes both calls."""
    create = client(context).chat.completions.create
    plain = create(model="rulebook", messages=MESSAGES, max_tokens=12)
    stream = create(
        model="rulebook", messages=MESSAGES, max_tokens=12, stream=True
    )
    context.plain = plain.choices[0].message.content
    context.streamed = "".join(
        chunk.choices[0].delta.content or "" for chunk in stream
    )


@then("both answers are complete")
def check_both_complete(context):
    """Compares the texts."""
    expected = "".join(f"t{n} " for n in range(1, 13))
    assert context.plain == expected, context.plain
    assert context.streamed == expected, context.streamed


@then("the models are listed")
def check_models_listed(context):
    """Lists the models."""
    names = [model.id for model in client(context).models.list()]
    assert names == ["rulebook"], names


@then('a wrong model is a NotFoundError with outcome "{outcome}"')
def check_wrong_model(context, outcome):
    """Requests a model that has no row in the table."""
    try:
        client(context).chat.completions.create(model="no", messages=MESSAGES)
    except openai.NotFoundError as error:
        body = error.response.json()
        assert body["outcome"] == outcome, body
        return
    raise AssertionError("no error")


@then("a wrong token is an AuthenticationError")
def check_wrong_token(context):
    """Lists the models with an unknown token."""
    try:
        client(context, "nobody").models.list()
    except openai.AuthenticationError:
        return
    raise AssertionError("no error")


@when("the OpenAI client reads a stream whose engine crashes")
def read_crashing_stream(context):
    """Restarts the engine after the sixth chunk."""
    context.error = None
    stream = client(context).chat.completions.create(
        model="rulebook", messages=MESSAGES, max_tokens=400, stream=True
    )
    try:
        for number, _ in enumerate(stream):
            if number == 5:
                url = context.cluster.url("engine-1", "/fault/restart")
                processes.call("POST", url)
    except openai.APIError as error:
        context.error = error


@then("the client raises an APIError")
def check_api_error(context):
    """Checks the error."""
    assert context.error is not None


@given(
    "a daemon that accepts bodies of up to {limit:d} bytes within {wait_ms:d}"
    " ms"
)
def start_with_body_limits(context, limit, wait_ms):
    """Starts a cluster with small limits."""
    cluster_steps.start_cluster(
        context,
        1,
        engines=1,
        max_body_bytes=limit,
        body_timeout_ms=wait_ms,
    )


@when("invalid bodies are sent")
def send_invalid_bodies(context):
    """Sends each body of the table."""
    url = context.cluster.url("entry-1", "/v1/chat/completions")
    context.results = []
    for row in context.table:
        answer = processes.call(
            "POST", url, row["body"].encode(), cluster_steps.auth(context)
        )
        context.results.append(
            (row["status"], answer[0], json.loads(answer[2]))
        )


@then("each is refused as not_run with the given status")
def refused_with_status(context):
    """Checks the refusals."""
    for expected, status, body in context.results:
        assert status == int(expected), (expected, status, body)
        assert body["outcome"] == "not_run", body


@then("a body that is too long gets 413")
def too_long(context):
    """Sends a body over the limit."""
    url = context.cluster.url("entry-1", "/v1/chat/completions")
    body = b"x" * 30_000
    status, _, _ = processes.call(
        "POST", url, body, cluster_steps.auth(context)
    )
    assert status == 413, status


@then("a body that never ends gets 408")
def never_ends(context):
    """Sends fewer bytes than its Content-Length."""
    port = context.cluster.ports["entry-1"]
    with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
        sock.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer token-desk\r\n"
            b"Content-Length: 1000\r\n\r\n{"
        )
        assert b" 408 " in sock.recv(4096).split(b"\r\n")[0]


@when(
    "a PATCH with a query, custom headers and forged internal headers is sent"
)
def send_patch(context):
    """Makes the call with http.client, so that no library changes it."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.cluster.ports["entry-1"], timeout=20
    )
    headers = {
        **cluster_steps.auth(context),
        **FORGED_HEADERS,
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
    context.call = json.loads(context.response.read())
    recorded = context.cluster.counts("portal-1")["headers"]
    context.received_headers = {name: value for name, value in recorded}


@then("the service received the method, path and custom headers")
def received_call(context):
    """Checks the call that the service recorded."""
    assert context.call["method"] == "PATCH"
    assert context.call["path"] == "/a%2Fb/c?x=1&y=%20", context.call
    assert context.received_headers["x-own"] == "kept"
    assert context.received_headers["content-type"] == "text/odd"


@then("the service received none of the forged headers")
def received_no_forged(context):
    """Checks the headers that the service recorded."""
    removed = {name.lower() for name in FORGED_HEADERS}
    removed |= {"authorization", "x-hop"}
    assert not removed & context.received_headers.keys(), (
        context.received_headers
    )


@then("the caller received the service's headers")
def received_response_headers(context):
    """Checks the answer."""
    assert context.response.status == 200
    assert context.response.headers["x-service"] == "stand-in"


@when("a POST without a key is sent")
def post_without_key(context):
    """Makes the call."""
    url = context.cluster.url("entry-1", "/svc/portal/claims")
    context.answer = processes.call(
        "POST", url, {"a": 1}, cluster_steps.auth(context)
    )


@then('it is refused with status {status:d} and reason "{reason}"')
def refused_reason(context, status, reason):
    """Checks the refusal."""
    body = json.loads(context.answer[2])
    assert (context.answer[0], body["reason"]) == (status, reason), body


@then("a key that is reused for another body gets 422")
def key_reused(context):
    """Sends one key with two bodies."""
    url = context.cluster.url("entry-1", "/svc/portal/claims")
    headers = {**cluster_steps.auth(context), "idempotency-key": "twice"}
    first = processes.call("POST", url, {"a": 1}, headers)
    other = processes.call("POST", url, {"a": 2}, headers)
    assert (first[0], other[0]) == (200, 422), (first, other)


def _generate(context, headers):
    url = context.cluster.url("entry-1", "/v1/chat/completions")
    body = {"model": "rulebook", "messages": MESSAGES, "max_tokens": 1}
    return processes.call("POST", url, body, headers)


@then("a generation without a token gets {status:d}")
def no_token(context, status):
    """Makes a call without a token."""
    assert _generate(context, {})[0] == status


@then("a generation with an operator's token gets {status:d}")
def operator_token(context, status):
    """Makes a call with an operator's token."""
    headers = {"authorization": "Bearer operator-ana"}
    assert _generate(context, headers)[0] == status


@then("a /v1/where request for another workspace gets {status:d}")
def foreign_where(context, status):
    """Requests the addresses for another workspace."""
    url = context.cluster.url("entry-1", "/v1/where?workspace=fair")
    answer = processes.call("GET", url, headers=cluster_steps.auth(context))
    assert answer[0] == status


@then("each operator call with a workspace's token gets {status:d}")
def operator_calls(context, status):
    """Calls every path of the operators' interface."""
    for path in ("table", "history", "status", "report"):
        url = context.cluster.url("entry-1", f"/operator/{path}")
        answer = processes.call("GET", url, headers=cluster_steps.auth(context))
        assert answer[0] == status, path
    url = context.cluster.url("entry-1", "/operator/table")
    answer = processes.call("POST", url, {}, cluster_steps.auth(context))
    assert answer[0] == status


@then("a peer without the secret is refused")
def unauthorized_peer(context):
    """Sends an envelope with another secret."""
    address = f"127.0.0.1:{context.cluster.peer_ports['entry-1']}"

    async def send():
        peers = exchange.PeerClient(secret=b"x" * 32, timeout_ms=5_000)
        reply = await peers.exchange(
            address,
            peer_pb2.Envelope(sender=peer_pb2.Member(member_id="stranger")),
        )
        await peers.close()
        return reply

    reply = asyncio.run(send())
    assert "status 401" in reply.err_value.detail, reply
    assert "stranger" not in context.cluster.ready("entry-1")["members"]


@then("a datagram without the secret gets no answer, one with it does")
def unauthorized_datagram(context):
    """Probes with a wrong secret, then with the right one."""
    secret = (context.cluster.path / "secret").read_bytes().strip()
    assert not asyncio.run(_probe(context, b"x" * 32)).is_ok()
    assert asyncio.run(_probe(context, secret)).is_ok()
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


@then("the log contains no token")
def no_token_in_log(context):
    """Searches the log."""
    log = context.cluster.log("entry-1")
    for secret in ("token-desk", "operator-ana", context.cluster.secret[:20]):
        assert secret not in log, secret


@when("a generation with forged state headers is sent")
def send_forged_headers(context):
    """Sends the headers that a daemon sends to engines."""
    headers = {**cluster_steps.auth(context), **FORGED_HEADERS}
    assert _generate(context, headers)[0] == 200


@then("the engine received only the daemon's state headers, once each")
def engine_received(context):
    """Checks the headers that the engine recorded."""
    counts = context.cluster.counts("engine-1")
    for name in FORGED_HEADERS:
        values = [v for k, v in counts["headers"] if k == name.lower()]
        assert len(values) == 1 and values[0] != FORGED_HEADERS[name], (
            name,
            values,
        )
    workspace = [v for k, v in counts["headers"] if k == "x-workspace"]
    assert workspace == ["desk"], workspace


@then("a log line quotes line breaks")
def quoted_lines(context):
    """Formats a line with a value that a caller chose."""
    del context
    event = effects.Event(
        "x", "", (effects.Field("detail", "a\nevent=forged b=1"),)
    )
    text = observer.format_line(event)
    assert "\n" not in text and text.endswith('"'), text


@when("streams and submissions are served")
def serve_some(context):
    """Makes five calls of each kind."""
    for number in range(5):
        assert _generate(context, cluster_steps.auth(context))[0] == 200
        status, _ = cluster_steps.send_key(context, f"k{number}", daemon=1)
        assert status == 200
    # The recording's last lines are written when the calls end.
    time.sleep(0.3)
