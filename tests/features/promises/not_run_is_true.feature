@promise_not_run_is_true
Feature: A call refused as not_run has not run
  A caller that receives not_run may safely send the call again.

  Scenario Outline: Each reason for a refusal
    # Symptom: a caller repeats a call that has run, or gives up a call that a
    #   retry would have served.
    # Sequence: a call is refused for the given reason; the reason disappears;
    #   the same key is sent again.
    # Cause: the refusal disagrees with the claim or the dispatch.
    When a call is refused because of "<reason>"
    Then the refusal has outcome "not_run" and reason "<reason>"
    And the service has not run the call
    And the same key can run afterwards

    Examples:
      | reason             |
      | limit              |
      | deadline           |
      | no_server          |
      | dispatch_failed    |
      | table_service_down |
      | table_not_current  |

  Scenario: The connection breaks at each byte of the request
    # Symptom: a call that a service has run is refused as not_run.
    # Sequence: the link to the service cuts the connection after n bytes of
    #   the request, for every n.
    # Cause: a partly sent request is treated as unsent.
    Given a cluster of 1 daemons and a plain service behind a link
    When calls are cut at successive byte offsets of their request
    Then no call refused as "not_run" has run
    And no call has run twice
    And at least 1 call was refused as "unknown" and at least 1 was answered

  Scenario: The connection breaks at each byte of the answer
    # Symptom: a call that has run is refused as not_run.
    # Sequence: the link cuts the connection after n bytes of the answer.
    # Cause: a partly read answer is treated as no answer.
    Given a cluster of 1 daemons and a plain service behind a link
    When calls are cut at successive byte offsets of their answer
    Then every call has run once
    And no call was refused as "not_run"

  Scenario: The link refuses connections
    # Symptom: calls are refused as unknown although nothing was sent.
    # Sequence: connecting to the service fails at once, then works again.
    # Cause: every failure is treated as a broken answer.
    Given a cluster of 1 daemons and a plain service
    When the service's process is killed
    And key "claim-21" is sent with method "POST" through daemon 1
    Then every answer has outcome "not_run"
    And the same key runs once after the service is back
