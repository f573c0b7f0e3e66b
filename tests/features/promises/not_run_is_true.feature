@promise_not_run_is_true
Feature: A refusal that says "not run" is true
  A caller that is told "not run" may send the call again without harm.

  Scenario Outline: Each way in which a refusal arises
    # Symptom: a caller repeats a call that has run, or gives one up that a
    #   repetition would have served.
    # Sequence: a call is refused for the reason named; the reason goes away;
    #   the same key is sent again.
    # Cause: the refusal and the claim or dispatch disagree.
    When a call is refused because of "<reason>"
    Then the refusal says "not_run" for "<reason>"
    And the service's count agrees
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
    # Symptom: "not run" is said of a call that a service has run.
    # Sequence: the link to the service cuts the connection after n bytes of
    #   the request, for every n.
    # Cause: a half-sent request taken for an unsent one.
    Given a cluster of 1 daemons and a plain service behind a link
    When calls are cut after each number of bytes of their request
    Then no call that was told "not_run" has run
    And no call has run twice
    And at least 1 call was told "unknown" and at least 1 got its answer

  Scenario: The connection breaks at each byte of the answer
    # Symptom: a call that ran is said not to have run.
    # Sequence: the link cuts the connection after n bytes of the answer.
    # Cause: a half-read answer taken for none.
    Given a cluster of 1 daemons and a plain service behind a link
    When calls are cut after each number of bytes of their answer
    Then every call has run once
    And no call was told "not_run"

  Scenario: The link refuses connections
    # Symptom: calls are said to be unknown although nothing was sent.
    # Sequence: connecting to the service fails outright, then works again.
    # Cause: every failure taken for a broken answer.
    Given a cluster of 1 daemons and a plain service
    When the service's process is killed
    And key "claim-21" is sent with method "POST" through daemon 1
    Then the answers say the outcome is "not_run"
    And the same key runs once after the service is back
