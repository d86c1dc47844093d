import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import review.Deployment;
import review.Engine;

/** A job's results are collected while the store is down, and are then too large for one object. */
public final class Case {
  private static final int ITEMS = 200;
  private static final int EVENTS = 203;

  /** The data of an event: a few words of a pattern text in Mongolian. */
  private static final String[] WORDS = {
    "алтан соёмбо улаан даавуун дээр, хоёр талд нь хээ хатгана,",
    "хөх тэнгэрийн дэвсгэр дээр нар, доор нь цагаан уул, гол ус",
    "хээ угалзтай захыг хатгамалаар, дараа нь шар утсаар давхар",
    "цагаан утсаар давхар хатгана, захыг нь нугалж оёх хэрэгтэй"
  };

  private static final long OUTAGE_MILLIS = 3_000;

  public static void main(String[] arguments) {
    Deployment.main(arguments, Case::run);
  }

  private static int run(Deployment deployment) throws Exception {
    Map<String, Integer> whole = new ConcurrentHashMap<>();
    AtomicLong lastEnd = new AtomicLong();
    Engine.Report report =
        new Engine.Report() {
          @Override
          public void began(Engine engine, String request, String path, String resumedAfter) {}

          @Override
          public void ended(Engine engine, String request, boolean complete) {
            lastEnd.set(System.nanoTime());
            if (complete) {
              whole.merge(request, 1, Integer::sum);
            }
          }
        };
    deployment.configure(
        new Deployment.Config(3).service("huvo11a").bulk("/pule252/", "huvo11a"));
    for (int index = 1; index <= 6; index++) {
      deployment.addEngine(
          new Engine(
              "i-" + index, "huvo11a", 8, EVENTS, 3_000, n -> WORDS[n % WORDS.length], report));
    }
    if (!deployment.startHosts()) {
      return 2;
    }
    Deployment.Job job = new Deployment.Job("7c41e09b52d6a3f8", "/pule252/", ITEMS);
    if (!deployment.submit(job)) {
      return 2;
    }
    Thread.sleep(200);
    if (deployment.trouble) {
      deployment.note("platform: the store is down, it answers 503");
      deployment.hosts.hosts.values().forEach(h -> h.platform.setMode(review.Platform.Mode.BUSY));
      Thread.sleep(OUTAGE_MILLIS);
      deployment.hosts.hosts.values().forEach(h -> h.platform.setMode(review.Platform.Mode.SERVE));
      deployment.note(
          "platform: the store is back; workers have done %d of %d items", whole.size(), ITEMS);
    }
    double readUntil = deployment.seconds() + 25;
    while (deployment.seconds() < readUntil && job.states.size() < ITEMS) {
      deployment.read(job, 1000);
      Thread.sleep(300);
    }
    // The traffic has ended; after finishS every item must be listed.
    double finish = deployment.seconds() + Deployment.FINISH_MILLIS / 1000.0;
    while (deployment.seconds() < finish && job.states.size() < ITEMS) {
      deployment.read(job, 0);
      Thread.sleep(500);
    }
    int running = deployment.engines.stream().mapToInt(Engine::inProgress).sum();
    double idle = (System.nanoTime() - lastEnd.get()) / 1e9;
    int refused = deployment.hosts.hosts.values().stream().mapToInt(h -> h.platform.tooLarge()).sum();
    deployment.note(
        "end: %d of %d items listed %s; workers have done %d different items, run %d now, and the"
            + " last run ended %.1f s ago; the store refused %d objects as too large",
        job.states.size(), ITEMS, Deployment.count(job), whole.size(), running, idle, refused);
    boolean unlisted = job.states.size() < ITEMS;
    if (unlisted && (running > 0 || idle < 5)) {
      deployment.note("the workers were not idle for 5 s, so the rule does not bind");
      return 2;
    }
    return deployment.verdict(
        unlisted,
        "LOST: "
            + (ITEMS - job.states.size())
            + " of "
            + ITEMS
            + " items of an accepted, open job are listed neither as completed nor as"
            + " dead_lettered when finishS is over");
  }
}
