@promise_leaving_server
Feature: A leaving backend server gets no new work after a few seconds

  Scenario Outline: Every daemon hears of it
    # Symptom: requests still go to an engine minutes after it began to leave.
    # Sequence: an engine is <way>; only its watcher or the list says so.
    # Cause: each daemon waits for a sign of its own.
    Given a cluster of 3 daemons and 2 engines
    When engine 1 is <way>
    Then every daemon counts engine 1 as leaving
    And none of 12 new streams goes to engine 1

    Examples:
      | way                                 |
      | leaving by its own word             |
      | leaving by the platform's list only |

  Scenario: It comes back on the same address
    # Symptom: a restarted engine never gets work again.
    # Sequence: an engine leaves, stops, and a new process takes its address.
    # Cause: leaving remembered by address.
    Given a cluster of 2 daemons and 2 engines
    When engine 1 is leaving by its own word
    And every daemon counts engine 1 as leaving
    And engine 1 restarts on its address
    Then every daemon counts engine 1 as usable

  Scenario: Work in flight finishes
    # Symptom: an engine that leaves cuts its streams.
    # Sequence: a stream runs on an engine; the engine begins to leave.
    # Cause: leaving taken for gone.
    Given a cluster of 2 daemons and an engine behind a link
    When a stream of 150 tokens is read, and its engine begins to leave meanwhile
    Then the caller has tokens 1 to 150 in order and the end mark
