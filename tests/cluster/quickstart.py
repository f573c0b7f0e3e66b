"""Demonstrates a small cluster, with a line of explanation for each step."""

from __future__ import annotations

import http.client
import json
import signal
import sys
import time

from cluster import processes

DAEMONS = ("entry-1", "entry-2", "entry-3")
RULEBOOK = "Section 4.2: a household qualifies when its roof is uninsulated. "
PROMPT_REPEATS = 400


def main() -> int:
    """Runs all steps; returns 0 only if each had the expected result."""
    started = time.monotonic()
    cluster = processes.Cluster()
    step = ""
    try:
        for name, run in _STEPS:
            step = name
            run(cluster)
    except (processes.StepError, OSError, ValueError, KeyError) as error:
        print(f"step {step!r} failed: {error!r}", file=sys.stderr)
        return 1
    finally:
        cluster.close()
    print(f"All of it was seen, in {time.monotonic() - started:.1f} s.")
    return 0


def _start(cluster: processes.Cluster) -> None:
    cluster.start_platform()
    cluster.start_engine("engine-1", "rulebook")
    cluster.start_engine("engine-2", "rulebook")
    cluster.start_service("portal-1", "portal")
    cluster.start_daemons(*DAEMONS)
    print(
        "Started: the platform, two model engines, a plain service and three"
        " daemons, each its own process, with a table of two workspaces."
    )


def _look_up_daemon(cluster: processes.Cluster) -> None:
    _, _, body = processes.call(
        "GET",
        cluster.url("entry-1", "/v1/where?workspace=desk&model=rulebook"),
        headers=_auth(cluster),
    )
    directory = json.loads(body)
    _expect(len(directory["addresses"]) == len(DAEMONS), directory)
    print(
        f"A caller asks which daemon to use: {directory['addresses'][0]} first,"
        f" valid for {directory['keep_ms']} ms."
    )


def _first_prompt(cluster: processes.Cluster) -> None:
    text, cached, total = _stream_answer(
        cluster, "entry-1", "Does case 17 qualify?"
    )
    _expect(cached == 0, cached)
    print(
        f"A streamed answer with a shared prompt of {total} tokens:"
        f" {text.split()[0]} ... {text.split()[-1]}, nothing cached yet."
    )


def _second_prompt(cluster: processes.Cluster) -> None:
    _, cached, total = _stream_answer(cluster, "entry-2", "And case 18?")
    _expect(cached > total // 2, (cached, total))
    print(
        "Another case on the same rulebook, through another daemon: the cache"
        f" saved {cached} of {total} prompt tokens."
    )


def _submission(cluster: processes.Cluster) -> None:
    headers = {**_auth(cluster), "idempotency-key": "claim-17"}
    answers = []
    for name in ("entry-1", "entry-2"):
        status, _, body = processes.call(
            "POST",
            cluster.url(name, "/svc/portal/claims"),
            {"case": 17},
            headers,
        )
        _expect(status == 200, (status, body))
        answers.append(body)
    runs = cluster.counts("portal-1")["runs"]
    _expect(runs == {"claim-17": 1}, runs)
    _expect(answers[0] == answers[1], answers)
    print(
        "A submission sent twice with one key, through two daemons: it ran"
        " once, and both callers got the same answer."
    )


def _table_change(cluster: processes.Cluster) -> None:
    done = cluster.command(
        "table",
        "set",
        "workspace",
        "desk",
        "max_in_flight=50",
        "--why",
        "fewer at a time",
        "--json",
        via="entry-3",
    )
    _expect(done.returncode == 0, done.stderr)
    change = json.loads(done.stdout)
    for name in DAEMONS:
        version = cluster.ready(name)["table_version"]
        _expect(version == change["version"], (name, version))
    print(
        f"A table change made with the command line: version"
        f" {change['version']} active at all {len(change['confirmed'])} daemons"
        f" after {change['after_ms']} ms."
    )


def _report(cluster: processes.Cluster) -> None:
    done = cluster.command("report")
    _expect(done.returncode == 0, done.stderr)
    _expect("desk: " in done.stdout, done.stdout)
    print("The plain report:")
    for line in done.stdout.splitlines():
        print(f"    {line}")


def _graceful_stop(cluster: processes.Cluster) -> None:
    connection, response = _open_stream(cluster, "entry-1", "Case 19?", 200)
    first = response.readline()
    cluster.signal("entry-1", signal.SIGTERM)
    rest = first + response.read()
    connection.close()
    words = _answer_text(rest).split()
    _expect(words == [f"t{n}" for n in range(1, 201)], words[-3:])
    _expect(b"data: [DONE]" in rest, rest[-200:])
    code = cluster.processes["entry-1"].wait(timeout=processes.WAIT_S)
    _expect(code == 0, code)
    print(
        "A daemon was stopped with SIGTERM during a stream: the caller got all"
        f" {len(words)} tokens in order, then the daemon exited."
    )


def _open_stream(
    cluster: processes.Cluster, daemon: str, question: str, tokens: int
):
    connection = http.client.HTTPConnection(
        "127.0.0.1", cluster.ports[daemon], timeout=processes.WAIT_S
    )
    body = {
        "model": "rulebook",
        "stream": True,
        "max_tokens": tokens,
        "messages": [
            {"role": "system", "content": RULEBOOK * PROMPT_REPEATS},
            {"role": "user", "content": question},
        ],
    }
    connection.request(
        "POST", "/v1/chat/completions", json.dumps(body), _auth(cluster)
    )
    response = connection.getresponse()
    _expect(response.status == 200, response.status)
    return connection, response


def _stream_answer(cluster: processes.Cluster, daemon: str, question: str):
    connection, response = _open_stream(cluster, daemon, question, 20)
    text = _answer_text(response.read())
    connection.close()
    line = next(
        line
        for line in reversed(cluster.log(daemon).splitlines())
        if "event=usage" in line
    )
    fields = dict(p.split("=", 1) for p in line.split() if "=" in p)
    return text, int(fields["cached_tokens"]), int(fields["prompt_tokens"])


def _answer_text(raw: bytes) -> str:
    words = []
    for line in raw.splitlines():
        if line.startswith(b"data: {"):
            choice = json.loads(line[6:])["choices"][0]
            words.append(choice["delta"].get("content", ""))
    return "".join(words)


def _auth(cluster: processes.Cluster) -> dict[str, str]:
    return {"authorization": f"Bearer {cluster.token('desk')}"}


def _expect(is_expected: bool, actual: object) -> None:
    if not is_expected:
        raise processes.StepError(f"unexpected result: {actual}")


_STEPS = (
    ("start", _start),
    ("where", _look_up_daemon),
    ("first prompt", _first_prompt),
    ("second prompt", _second_prompt),
    ("submission", _submission),
    ("table change", _table_change),
    ("report", _report),
    ("graceful stop", _graceful_stop),
)


if __name__ == "__main__":
    sys.exit(main())
