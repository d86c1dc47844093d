/**
 * The view of live hosts, used only as a hint, and the choice of an owner for a resource.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.membership.MembershipView}, then {@link
 * org.trefoilbarrow.coordination.membership.Rendezvous}.
 */
package org.trefoilbarrow.coordination.membership;
