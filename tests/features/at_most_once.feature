Feature: A payment runs at most once and every verdict is correct

  Scenario Outline: <fault> while a payment is at step <step>
    Given a hall with a payment blocked at step <step>
    When the fault <fault> is injected
    And the caller retries at another entry until the outcome is known
    Then the payment ran at most once
    And every verdict returned to callers is correct

    Examples:
      | step             | fault            |
      | admit            | entry_stopped     |
      | admit            | entry_killed     |
      | admit            | entry_frozen     |
      | admit            | sidecar_killed   |
      | admit            | sidecar_frozen   |
      | admit            | connection_cut   |
      | admit            | platform_down    |
      | admit            | owner_replaced   |
      | admit            | sidecar_restarted |
      | choose           | entry_stopped     |
      | choose           | entry_killed     |
      | choose           | entry_frozen     |
      | choose           | sidecar_killed   |
      | choose           | sidecar_frozen   |
      | choose           | connection_cut   |
      | choose           | platform_down    |
      | choose           | owner_replaced   |
      | choose           | sidecar_restarted |
      | connect_sidecar  | entry_stopped     |
      | connect_sidecar  | entry_killed     |
      | connect_sidecar  | entry_frozen     |
      | connect_sidecar  | sidecar_killed   |
      | connect_sidecar  | sidecar_frozen   |
      | connect_sidecar  | connection_cut   |
      | connect_sidecar  | platform_down    |
      | connect_sidecar  | owner_replaced   |
      | connect_sidecar  | sidecar_restarted |
      | send_sidecar     | entry_stopped     |
      | send_sidecar     | entry_killed     |
      | send_sidecar     | entry_frozen     |
      | send_sidecar     | sidecar_killed   |
      | send_sidecar     | sidecar_frozen   |
      | send_sidecar     | connection_cut   |
      | send_sidecar     | platform_down    |
      | send_sidecar     | owner_replaced   |
      | send_sidecar     | sidecar_restarted |
      | queue            | entry_stopped     |
      | queue            | entry_killed     |
      | queue            | entry_frozen     |
      | queue            | sidecar_killed   |
      | queue            | sidecar_frozen   |
      | queue            | connection_cut   |
      | queue            | platform_down    |
      | queue            | owner_replaced   |
      | queue            | sidecar_restarted |
      | connect_upstream | entry_stopped     |
      | connect_upstream | entry_killed     |
      | connect_upstream | entry_frozen     |
      | connect_upstream | sidecar_killed   |
      | connect_upstream | sidecar_frozen   |
      | connect_upstream | connection_cut   |
      | connect_upstream | platform_down    |
      | connect_upstream | owner_replaced   |
      | connect_upstream | sidecar_restarted |
      | send_upstream    | entry_stopped     |
      | send_upstream    | entry_killed     |
      | send_upstream    | entry_frozen     |
      | send_upstream    | sidecar_killed   |
      | send_upstream    | sidecar_frozen   |
      | send_upstream    | connection_cut   |
      | send_upstream    | platform_down    |
      | send_upstream    | owner_replaced   |
      | send_upstream    | sidecar_restarted |
      | await_answer     | entry_stopped     |
      | await_answer     | entry_killed     |
      | await_answer     | entry_frozen     |
      | await_answer     | sidecar_killed   |
      | await_answer     | sidecar_frozen   |
      | await_answer     | connection_cut   |
      | await_answer     | platform_down    |
      | await_answer     | owner_replaced   |
      | await_answer     | sidecar_restarted |
      | relay_answer     | entry_stopped     |
      | relay_answer     | entry_killed     |
      | relay_answer     | entry_frozen     |
      | relay_answer     | sidecar_killed   |
      | relay_answer     | sidecar_frozen   |
      | relay_answer     | connection_cut   |
      | relay_answer     | platform_down    |
      | relay_answer     | owner_replaced   |
      | relay_answer     | sidecar_restarted |
