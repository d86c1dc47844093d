package org.trefoilbarrow.command;

import org.trefoilbarrow.protocol.HostId;

/**
 * The identity of the host that this process runs.
 *
 * @param host the host's name
 * @param incarnation a number that increases with each start of the host
 */
record HostIdentity(HostId host, long incarnation) {}
