package org.trefoilbarrow.coordination.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.WorkSize;

public final class FairQueueTest {
  private static final long SECOND = 1_000_000_000L;
  private static final double COST = 0.5 * SECOND;

  private FairQueue queue;
  private long nextCall;

  @BeforeMethod
  public void createQueue() {
    queue = new FairQueue(organisation -> organisation.equals("double") ? 2 : 1);
    nextCall = 0;
  }

  private Demand demand(String organisation, int priority) {
    return new Demand(
        new DemandId(HostId.of("h"), nextCall++),
        "s",
        Optional.empty(),
        priority,
        false,
        SECOND + nextCall,
        5 * SECOND,
        false,
        ImmutableSet.of(),
        ImmutableList.of(),
        new WorkProfile("", Optional.empty(), WorkSize.UNKNOWN, 0, ImmutableList.of())
            .withCaller(Optional.of(OrganisationId.of(organisation))));
  }

  private void add(String organisation, int count, double cost) {
    for (int index = 0; index < count; index++) {
      queue.add(new FairQueue.Entry(demand(organisation, 0), cost, false), 0);
    }
  }

  /** Serves demands, and returns how many of them are of an organisation. */
  private int serve(int count, String organisation) {
    int found = 0;
    for (int index = 0; index < count; index++) {
      FairQueue.Entry next = queue.poll().orElseThrow();
      queue.charge(next, 0);
      found += FairQueue.organisationOf(next.demand()).equals(organisation) ? 1 : 0;
    }
    return found;
  }

  @Test
  public void slotTimeIsSharedByWeightAndNotByNumberOfDemands() {
    add("many", 60, COST);
    add("double", 40, COST);
    add("large", 40, 2 * COST);
    // Three turns of weight 1 : 2 : 1, and half as many of the large ones.
    assertEquals(serve(35, "double"), 20, 1);
    assertEquals(serve(35, "large"), 5, 1);
  }

  @Test
  public void newcomerGoesBeforeTheQueueOfAnother() {
    add("many", 60, COST);
    serve(20, "many");
    add("one", 1, COST);
    assertEquals(serve(2, "one"), 1);
  }

  @Test
  public void idleOrganisationAccumulatesNoCredit() {
    add("many", 100, COST);
    serve(50, "many");
    add("idle", 20, COST);
    assertEquals(serve(20, "idle"), 10, 1);
  }

  @Test
  public void higherPriorityGoesFirst() {
    add("many", 3, COST);
    Demand urgent = demand("urgent", -1);
    queue.add(new FairQueue.Entry(urgent, COST, false), 0);
    assertEquals(queue.poll().orElseThrow().demand(), urgent);
  }

  @Test
  public void callerWhoReturnsGoesBeforeNewOnesOfItsOrganisation() {
    add("many", 3, COST);
    Demand returned = demand("many", 0);
    queue.add(new FairQueue.Entry(returned, COST, true), 0);
    assertEquals(queue.poll().orElseThrow().demand(), returned);
  }

  @Test
  public void waitIsThatOfTheOrganisationsOwnQueue() {
    add("many", 60, COST);
    FairQueue.Backlog newcomer = queue.backlogBefore(demand("one", 0), 0);
    assertEquals(newcomer.slotNanos(), 0.0, 1.0);
    FairQueue.Backlog many = queue.backlogBefore(demand("many", 0), 0);
    assertEquals(many.slotNanos(), 60 * COST, 1.0);
    assertEquals(many.queueLength(), 60);
  }

  /**
   * Its share among the queues alone was too good an estimate: other organisations, with one demand
   * at a time, go before the queue, and what waited was refused after its objective.
   */
  @Test
  public void waitOfAQueueCountsTheOrganisationsThatGoBeforeIt() {
    add("many", 60, COST);
    for (int served = 0; served < 20; served++) {
      if (served % 2 == 0) {
        add("one at a time " + served, 1, COST);
      }
      queue.charge(queue.poll().orElseThrow(), served);
    }
    FairQueue.Backlog backlog = queue.backlogBefore(demand("many", 0), 20);
    assertEquals(backlog.share(), 0.5, 0.05);
    assertEquals(backlog.slotNanos(), 100 * COST, 10 * COST);
  }

  @Test
  public void stateOfIdleOrganisationsIsEvicted() {
    for (int index = 0; index < 10_000; index++) {
      add("o" + index, 1, COST);
      serve(1, "");
    }
    assertTrue(queue.isEmpty());
    assertTrue(queue.accountCount() < 200, queue.accountCount() + " organisations are kept");
  }
}
