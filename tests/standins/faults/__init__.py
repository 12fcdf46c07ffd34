"""Real sender processes over loopback while their system calls fail, clocks step and signals come.

    python -m standins.faults --seeds 1-50 --fault KIND     (from the folder `tests`)

One seed names one run: the fleet, the load, the faults with their times. The verdict comes from the records of
clients, receivers and discovery alone.
"""
