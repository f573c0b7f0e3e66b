Feature: Replays of recorded sessions make the same decisions
  `scripts/golden.sh` records the sessions again and shows the difference.

  Scenario Outline: Replay
    Given the recorded session "<name>"
    When it is replayed
    Then the decisions are the same byte for byte

    Examples:
      | name                |
      | cancel_races_answer |
      | claim_outage        |
      | crossed_frames      |
      | late_first_engine   |
      | overload            |
      | routed_change_of_keys_and_weights |
      | routed_server_goes_dark |
      | silent_for_good     |
