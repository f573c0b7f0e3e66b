@promise_own_answer
Feature: Each caller gets the complete answer to its own request

  Scenario: An engine answers with another request's answer
    # Symptom: an officer reads the answer to somebody else's question.
    # Sequence: an engine mixes up two connections and echoes another
    #   request's id.
    # Cause: answers are matched to requests by connection.
    Given a cluster of 1 daemons and 2 engines
    When the engines echo another request's id once
    And a stream of 30 tokens is read
    Then the caller has tokens 1 to 30 in order and the end mark
    And the log reports the changed state

  Scenario: Two workspaces choose the same request id
    # Symptom: one workspace gets the other's answer.
    # Sequence: two callers of two workspaces send requests with the
    #   same X-Request-Id and Idempotency-Key at the same time.
    # Cause: the caller's id is used as a key without the workspace.
    Given a cluster of 2 daemons and a plain service
    When both workspaces send different calls with the same ids at once
    Then each got the answer to its own call

  Scenario: A late answer of an abandoned attempt
    # Symptom: a caller gets a mix of two answers, or an older one.
    # Sequence: an engine sends nothing before its first frame; the request is
    #   sent to another engine; then the first engine's frames arrive.
    # Cause: frames are matched by request instead of attempt.
    Given the recorded session "late_first_engine"
    When it is replayed
    Then the decisions are the same byte for byte
    And the caller's frames come from one attempt only

  Scenario: A cancellation races the answer
    # Symptom: a daemon fails, or another caller gets the answer.
    # Sequence: the caller disconnects while its last frames arrive.
    # Cause: effects are emitted for a request that no longer exists.
    Given the recorded session "cancel_races_answer"
    When it is replayed
    Then the decisions are the same byte for byte
    And nothing is relayed after the caller has disconnected
