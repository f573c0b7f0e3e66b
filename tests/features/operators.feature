Feature: The operators' commands and settings

  Scenario: Changes of the table by command and by CSV file
    Given a cluster of 2 daemons and a plain service
    Then "table show" prints the rows
    And an export can be imported again and changes nothing
    And "table set workspace desk max_in_flight=-1" exits 2 and says "max_in_flight"
    And "table set workspace desk colour=red" exits 2 and says "columns"
    And "table set model new-model weights_version=2" without a reason exits 2
    And importing an invalid CSV file exits 2 and names the fault
    And a changed cell can be undone and the history lists both changes
    And "table status" exits 0
    And "report --json" exits 0

  Scenario: Weights that do not exist
    # Symptom: replica after replica is drained and fails to load.
    # Sequence: an operator sets a wrong weights version, or a right one while
    #   the platform is down.
    # Cause: only the engines find out that the version does not exist.
    Given a cluster of 1 daemons and 1 engines
    Then "table set model rulebook weights_version=7" exits 2 and says "it has 1, 2"
    And "table set model rulebook weights_version=2" is accepted

  Scenario: Invalid settings
    Then settings with these faults are refused in one line with exit code 2
      | fault                          | says                 |
      | unknown key                    | did you mean         |
      | wrong unit                     | address_keep_ms      |
      | missing key                    | peer_address         |
      | port in use                    | http_address         |
      | short secret                   | cluster_secret_file  |
      | unknown decision               | no number is named   |
      | decision out of range          | must be at most 0.8  |
      | platform unreachable           | platform_url         |
      | peer port in use by datagrams  | peer_address         |
    And valid settings pass the check
    And every setting is printed with its default

  Scenario: A recording of a daemon replays byte for byte
    # Symptom: a fault seen in production can't be reproduced.
    # Sequence: a daemon records real requests; the recording is replayed.
    # Cause: a decision depends on more than its inputs.
    Given a cluster of 1 recording daemons, 1 engines and a plain service
    When streams and submissions are served
    Then "replay" of the recording reports the same effects
