/**
 * The interface to the platform's object service, and this host's tables of stored objects. Depends
 * on no other layer than {@code protocol}.
 *
 * <p>Read first, in this order: {@link org.trefoilbarrow.state.Platform}, the only interface to the
 * object service; {@link org.trefoilbarrow.state.ConfirmedWrites}, which repeats writes whose
 * response was lost; {@link org.trefoilbarrow.state.ConfigurationTable}.
 *
 * <p>Lock order: a thread that holds the lock of a table acquires no lock of another table and
 * makes no call to the platform.
 */
package org.trefoilbarrow.state;
