@promise_leaving_server
Feature: A leaving backend server gets no new work after a few seconds

  Scenario Outline: Every daemon learns of it
    # Symptom: requests still go to an engine minutes after it began to leave.
    # Sequence: an engine is <mark>; one daemon sees it.
    # Cause: each daemon waits until it sees the mark itself.
    Given a cluster of 3 daemons and 2 engines
    When engine 1 is <mark>
    Then every daemon counts engine 1 as leaving
    And none of 12 new streams goes to engine 1

    Examples:
      | mark                                          |
      | marked as leaving in its load reports only    |
      | marked as leaving in the platform's list only |

  Scenario: An engine comes back on the same address
    # Symptom: a restarted engine never gets work again.
    # Sequence: an engine leaves, stops, and a new process takes its address.
    # Cause: the leaving mark is stored by address.
    Given a cluster of 2 daemons and 2 engines
    When engine 1 is marked as leaving in its load reports only
    And every daemon counts engine 1 as leaving
    And engine 1 restarts on its address
    Then every daemon counts engine 1 as usable

  Scenario: Work in flight finishes
    # Symptom: the streams of a leaving engine are cut.
    # Sequence: a stream runs on an engine; the engine begins to leave.
    # Cause: a leaving engine is treated as gone.
    Given a cluster of 2 daemons and an engine behind a link
    When a stream of 150 tokens is read, and its engine starts to leave meanwhile
    Then the caller has tokens 1 to 150 in order and the end mark
