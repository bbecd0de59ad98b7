"""The entry daemon.

A caller asks `lookup` which VMs to use and sends its request to one of them.
There `admission` tells whose it is and whether it is within its rate,
`routing` picks targets with room, `attempts` decides what may be tried again,
and `relay` carries the bytes. `node` joins these to the rest of the fleet and
`daemon` puts them on sockets.
"""
