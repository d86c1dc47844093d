/**
 * Shares of all limits: which of them this host holds, and until when.
 *
 * <p>Each limit over all hosts is divided into the same number of equal shares. A share is one
 * object of the platform, held under a long lease. Read first: {@link
 * org.trefoilbarrow.coordination.share.ShareLeases}, then {@link
 * org.trefoilbarrow.coordination.share.ShareRules}.
 */
package org.trefoilbarrow.coordination.share;
