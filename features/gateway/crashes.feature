Feature: Requests with a part of a prompt that crashes upstreams are recognised by that part

  Scenario Outline: Upstreams don't crash one after the other under requests that share a prompt part: <place>
    Given a gateway with two upstreams that crash when they begin to answer a prompt with a certain part
    When for 9 s 20 requests per second arrive, a third of them different ones with that part, <place>
    Then at most 3 requests with the part reach upstreams later than 3 s after the fifth crash
    And of the sound requests from 6 s after the fifth crash on at least half begin at the first attempt

    Examples:
      | place                           |
      | in the middle of their prompts  |
      | at the beginning of the prompts |
