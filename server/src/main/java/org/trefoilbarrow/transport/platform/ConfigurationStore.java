package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.trefoilbarrow.operators.ConfigurationEntity;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.EntityReference;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedEntity;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;

/**
 * Reads and writes configuration entities in the platform for operators.
 *
 * <p>A write is reported as accepted only if it took effect; one with an unknown outcome is
 * reported as such. Thread-safe.
 */
public final class ConfigurationStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_WRITE_ATTEMPTS = 4;

  private final Platform platform;
  private final ConfirmedWrites writes;
  private final ConfigurationTable table;

  /** Creates a store that applies each accepted write to the table at once. */
  public ConfigurationStore(Platform platform, ConfirmedWrites writes, ConfigurationTable table) {
    this.platform = checkNotNull(platform, "platform");
    this.writes = checkNotNull(writes, "writes");
    this.table = checkNotNull(table, "table");
  }

  /** Returns an entity as stored in the platform, if it exists. */
  public Optional<VersionedEntity> read(EntityReference reference) {
    return PlatformReads.answerOf(
            () -> platform.read(ObjectKind.CONFIGURATION, reference.objectName()))
        .map(ConfigurationStore::decode);
  }

  /**
   * Writes an entity if it has the expected version.
   *
   * @param expectedVersion the version that is replaced, or {@link Platform#ABSENT} to create it
   * @return the new version
   * @throws ServiceException if the write was refused, or its outcome is unknown
   */
  public long write(ConfigurationEntity entity, long expectedVersion) {
    for (EntityReference referenced : entity.spec().references()) {
      if (table.find(referenced).isEmpty() && read(referenced).isEmpty()) {
        throw new ServiceException(
            ErrorKind.INVALID_REQUEST,
            "\"%s\" refers to \"%s\", which does not exist",
            entity.reference(),
            referenced);
      }
    }
    String name = entity.reference().objectName();
    String value = ConfigurationJson.print(entity);
    WriteOutcome written =
        writes.write(ObjectKind.CONFIGURATION, name, expectedVersion, value, MAX_WRITE_ATTEMPTS);
    requireApplied(written, entity.reference(), expectedVersion);
    table.apply(ImmutableList.of(new ObjectChange(name, written.version(), Optional.of(value))));
    logger.atInfo().log("configuration: wrote %s at version %s", name, written.version());
    return written.version();
  }

  /**
   * Deletes an entity if it has the expected version and nothing refers to it.
   *
   * @return the version of the deletion
   * @throws ServiceException if the deletion was refused, or its outcome is unknown
   */
  public long delete(EntityReference reference, long expectedVersion) {
    ImmutableList<EntityReference> referrers = table.referrers(reference);
    if (!referrers.isEmpty()) {
      throw new ServiceException(
          ErrorKind.IN_USE,
          "\"%s\" cannot be deleted: \"%s\" refers to it",
          reference,
          referrers.get(0));
    }
    String name = reference.objectName();
    WriteOutcome deleted =
        writes.delete(ObjectKind.CONFIGURATION, name, expectedVersion, MAX_WRITE_ATTEMPTS);
    requireApplied(deleted, reference, expectedVersion);
    if (deleted.version() > 0) {
      table.apply(ImmutableList.of(new ObjectChange(name, deleted.version(), Optional.empty())));
    }
    logger.atInfo().log("configuration: deleted %s", name);
    return deleted.version();
  }

  private static void requireApplied(
      WriteOutcome written, EntityReference reference, long expectedVersion) {
    switch (written.result()) {
      case APPLIED -> {}
      case CONFLICT ->
          throw new ServiceException(
              ErrorKind.VERSION_CONFLICT,
              "\"%s\" is not at version %s",
              reference,
              expectedVersion);
      case UNKNOWN ->
          throw new ServiceException(
              ErrorKind.WRITE_OUTCOME_UNKNOWN,
              "whether \"%s\" was written is unknown; read it before trying again",
              reference);
      case NOT_SENT ->
          throw new ServiceException(
              ErrorKind.PLATFORM_UNAVAILABLE,
              "the platform does not answer; \"%s\" was not written",
              reference);
    }
  }

  private static VersionedEntity decode(VersionedObject object) {
    return new VersionedEntity(
        ConfigurationJson.read(object.value(), ConfigurationEntity.class), object.version());
  }
}
