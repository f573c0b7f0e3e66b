@promise_no_cold_start
Feature: A restarted daemon keeps using cached prefixes

  Scenario Outline: Restarted daemons place prompts where they are cached
    # Symptom: after a deployment every cached prefix is computed again.
    # Sequence: prompts with many prefixes have been served; <who> killed
    #   and restarted <platform>; the same prefixes are requested at once.
    # Cause: only the old process knows where a prefix is cached.
    Given a cluster of 3 daemons and 3 engines
    And 24 long prefixes were served through all daemons
    When <who> killed and restarted <platform>
    Then at least 23 of the 24 prefixes are found cached on the first request
    And the platform answered fewer than 200 reads meanwhile

    Examples:
      | who              | platform                           |
      | one daemon is    | while the platform is up           |
      | all daemons are  | while the platform is up           |
      | all daemons are  | while the table service is down    |
