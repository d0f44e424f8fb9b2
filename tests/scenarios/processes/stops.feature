Feature: Processes stop, end and freeze while requests arrive

  Scenario: A rolling restart cuts no request
    When requests arrive while each host is stopped as planned and started
    Then no request is cut
    And every answer is true
    And what was told as not run has not run
    And no request that may not be repeated has run twice

  Scenario: A host is killed
    When requests arrive while a host is killed and started
    Then every answer is true
    And what was told as not run has not run
    And no request that may not be repeated has run twice
    And both hosts answer again

  Scenario: A host stands still and goes on
    When requests arrive while a host is frozen and goes on
    Then every answer is true
    And what was told as not run has not run
    And no request that may not be repeated has run twice
    And both hosts answer again
