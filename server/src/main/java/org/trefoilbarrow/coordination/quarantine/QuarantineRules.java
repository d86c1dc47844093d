package org.trefoilbarrow.coordination.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The limits and times by which prompt parts are suspected and quarantined.
 *
 * @param unknownPartEnds the ends of backend servers after which a part is quarantined that was not
 *     seen to be sound
 * @param soundPartEnds the same for a part that was seen to be sound before the ends
 * @param soundPartMoments the distinct moments that the ends of such a part must have
 * @param sameMoment ends of backend servers that lie closer together may have one cause, such as a
 *     failure domain without power
 * @param sameEnd reports about one backend server that lie closer together are about one end; a
 *     backend server may start again under its identifier, but not so soon
 * @param settleTime how long reports of an end are awaited before it counts; longer than the check
 *     of a backend server by the hosts
 * @param endMemory how long an end counts
 * @param maxEnds the most ends that are remembered
 * @param maxPartsPerEnd the most parts that are remembered of one end
 * @param maxSoundParts the most parts that are remembered as sound
 * @param maxQuarantinedParts the most parts in quarantine or on probation
 * @param duration how long the first quarantine of a part lasts
 * @param maxDuration the longest quarantine; each renewal doubles the duration
 * @param probation how long after a quarantine one end renews it
 */
public record QuarantineRules(
    int unknownPartEnds,
    int soundPartEnds,
    int soundPartMoments,
    Duration sameMoment,
    Duration sameEnd,
    Duration settleTime,
    Duration endMemory,
    int maxEnds,
    int maxPartsPerEnd,
    int maxSoundParts,
    int maxQuarantinedParts,
    Duration duration,
    Duration maxDuration,
    Duration probation) {
  /** The default rules. */
  public static final QuarantineRules DEFAULT =
      new QuarantineRules(
          3,
          5,
          3,
          Duration.ofMillis(250),
          Duration.ofSeconds(2),
          Duration.ofMillis(100),
          Duration.ofMinutes(5),
          64,
          256,
          4096,
          256,
          Duration.ofMinutes(10),
          Duration.ofDays(1),
          Duration.ofHours(1));

  /** Checks the components. */
  public QuarantineRules {
    checkArgument(unknownPartEnds > 1, "unknownPartEnds must be above 1, not %s", unknownPartEnds);
    checkArgument(
        soundPartEnds >= unknownPartEnds,
        "soundPartEnds must be at least unknownPartEnds, not %s",
        soundPartEnds);
    checkArgument(maxEnds >= soundPartEnds, "maxEnds must be at least soundPartEnds");
    checkArgument(maxPartsPerEnd > 0, "maxPartsPerEnd must be positive");
    checkArgument(maxSoundParts > 0, "maxSoundParts must be positive");
    checkArgument(maxQuarantinedParts > 0, "maxQuarantinedParts must be positive");
  }
}
