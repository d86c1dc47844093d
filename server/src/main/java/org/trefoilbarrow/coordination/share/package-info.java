/**
 * Shares of all limits: which of them this host holds, and until when.
 *
 * <p>Each limit over all hosts is cut into the same number of equal shares. A share is one object
 * of the platform, held under a long lease. Start at {@link
 * org.trefoilbarrow.coordination.share.ShareLeases}.
 */
package org.trefoilbarrow.coordination.share;
