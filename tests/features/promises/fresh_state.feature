@promise_fresh_state
Feature: No answer uses state that is outdated, lost or another workspace's

  Scenario: Two workspaces with the same prompt
    # Symptom: a workspace learns from the speed of an answer, or from the
    #   answer itself, what another workspace requested.
    # Sequence: two workspaces send the same long prompt, one after the other.
    # Cause: the cache key is computed from the prompt alone.
    Given a cluster of 1 daemons and 1 engines
    When workspace "desk" sends a long prompt twice
    And workspace "fair" sends the same long prompt
    Then most of the prompt was cached for "desk" the second time
    And none of the prompt was cached for "fair"

  Scenario Outline: The engine's state changes before the first frame
    # Symptom: an answer is computed with replaced weights, or stamped with an
    #   incarnation that has ended.
    # Sequence: the daemon has chosen an engine; before the request reaches it
    #   the engine <change>.
    # Cause: the answer's state is not compared with the state that the daemon
    #   chose the engine for.
    Given a cluster of 1 daemons and 1 engines
    When the engine <change> unreported, and a stream is requested at once
    Then the answer is complete and stamped with the engine's current state
    And the log reports the changed state

    Examples:
      | change                   |
      | restarts empty           |
      | loads other weights      |
