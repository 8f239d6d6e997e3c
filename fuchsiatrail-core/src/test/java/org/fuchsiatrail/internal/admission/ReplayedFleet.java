package org.fuchsiatrail.internal.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.UpstreamLoad;

/**
 * Callers who ask routers for more than upstreams take, on virtual time. Each router decides by itself, on news of the
 * others' requests that is as old as in a fleet of that size; upstreams queue a few requests and turn away the rest.
 */
final class ReplayedFleet {

    static final int SLOTS = 12;
    static final int QUEUE = 36;
    static final long URGENT_TARGET_MILLIS = 260;
    static final long LONG_TARGET_MILLIS = 800;
    static final long SERVICE_MILLIS = 300;
    private static final long STEP_MILLIS = 5;
    private static final long DURATION_MILLIS = 5_000;
    private static final long MEASURED_FROM_MILLIS = 1_000;
    private static final int MAXIMUM_SENDS = 4;
    private static final double UNEVENNESS = 1.5;
    private static final int CUSTOMERS = 8;
    private static final int HOT_CUSTOMERS = 2;
    private static final double URGENT_FRACTION = 1 / 3.0;
    private static final long TROUBLE_FROM_MILLIS = 1_500;
    private static final long TROUBLE_UNTIL_MILLIS = 3_500;
    /** When all routers know which upstreams are dark, in milliseconds. */
    private static final long DARK_KNOWN_MILLIS = TROUBLE_FROM_MILLIS + 1_200;

    private final SplittableRandom random;
    private final boolean decides;
    private final List<ReplayedRouter> routers = new ArrayList<>();
    private final List<ReplayedUpstream> upstreams = new ArrayList<>();
    private final long newsAgeMillis;
    private long now;
    private Pattern pattern = Pattern.steady(1);

    /**
     * What callers ask for, and which upstreams answer.
     *
     * @param load a multiple of what the upstreams complete
     * @param patientFactor how many times as many of the less urgent requests come in the time of trouble
     * @param hotFactor how many times as much the hot customers ask for in the time of trouble
     * @param darkUpstreams how many upstreams take requests and complete none from the time of trouble on
     * @param uneven whether the routers get unequal parts of the requests, the first about four times the mean
     */
    record Pattern(double load, double patientFactor, double hotFactor, int darkUpstreams, boolean uneven) {

        static Pattern steady(double load) {
            return new Pattern(load, 1, 1, 0, false);
        }

        static Pattern unevenRouters(double load) {
            return new Pattern(load, 1, 1, 0, true);
        }

        static Pattern burstOnOneKind(double factor) {
            return new Pattern(1, factor, 1, 0, false);
        }

        static Pattern twoHotCustomers(double factor) {
            return new Pattern(1, 1, factor, 0, false);
        }

        static Pattern darkUpstreams(int darkUpstreams) {
            return new Pattern(1, 1, 1, darkUpstreams, false);
        }
    }

    /** What callers got. */
    static final class Outcome {
        int asked;
        int served;
        int refused;
        long waitedMillis;

        double servedFraction() {
            return (double) served / Math.max(1, asked);
        }
    }

    final Outcome urgent = new Outcome();
    final Outcome patient = new Outcome();
    final Outcome[] byRouter;
    final Outcome[] byCustomer = new Outcome[CUSTOMERS];
    int arrivals;
    int turnedAway;
    int completed;

    private static final class Request {
        final boolean urgent;
        final int customer;
        final long receivedAtMillis;
        final ReplayedRouter router;
        long sentAtMillis;
        int sends;

        Request(boolean urgent, int customer, long receivedAtMillis, ReplayedRouter router) {
            this.urgent = urgent;
            this.customer = customer;
            this.receivedAtMillis = receivedAtMillis;
            this.router = router;
        }

        long targetMillis() {
            return urgent ? URGENT_TARGET_MILLIS : LONG_TARGET_MILLIS;
        }

        WaitingOrder.Waiting waiting() {
            return new WaitingOrder.Waiting(urgent ? 0 : 2, receivedAtMillis + targetMillis());
        }
    }

    private record Look(long atMillis, Request request) {}

    private record Running(long endsAtMillis, Request request) {}

    private final class ReplayedUpstream {
        final UpstreamId id;
        final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endsAtMillis));
        final ArrayDeque<Request> queue = new ArrayDeque<>();

        ReplayedUpstream(int number) {
            id = new UpstreamId("upstream-" + number);
        }

        int occupancy() {
            return running.size() + queue.size();
        }

        boolean offer(Request request) {
            arrivals++;
            if (running.size() < SLOTS) {
                start(request, now);
                return true;
            }
            return queue.size() < QUEUE && queue.add(request);
        }

        private void start(Request request, long atMillis) {
            running.add(new Running(
                    atMillis + random.nextLong(SERVICE_MILLIS / 2, SERVICE_MILLIS + SERVICE_MILLIS / 2), request));
        }

        void advance(int number) {
            if (isDark(number)) {
                return;
            }
            while (!running.isEmpty() && running.peek().endsAtMillis() <= now) {
                Running ended = running.poll();
                ended.request().router.complete(ended.request(), number, this);
                if (!queue.isEmpty()) {
                    start(queue.poll(), ended.endsAtMillis());
                }
            }
        }
    }

    private final class ReplayedRouter {
        final ServiceAdmission admission = new ServiceAdmission();
        final int number;
        final int[] own = new int[upstreams.size()];
        int ownUrgent;
        final PriorityQueue<Look> looks = new PriorityQueue<>(Comparator.comparingLong(Look::atMillis));
        int[] others = new int[upstreams.size()];
        int[] othersOnTheWay = others;
        long nextNewsAtMillis;

        ReplayedRouter(int number) {
            this.number = number;
            nextNewsAtMillis = random.nextLong(newsAgeMillis);
        }

        /** Applies the news that were on the way and takes a new look at the others' requests. */
        void readNews() {
            if (now < nextNewsAtMillis) {
                return;
            }
            nextNewsAtMillis = now + newsAgeMillis / 2;
            others = othersOnTheWay;
            othersOnTheWay = new int[own.length];
            for (int index = 0; index < own.length; index++) {
                othersOnTheWay[index] = upstreams.get(index).occupancy() - own[index];
            }
        }

        private List<UpstreamRoom> rooms() {
            double mean = Arrays.stream(others).average().orElse(0);
            List<UpstreamRoom> rooms = new ArrayList<>();
            for (int index = 0; index < own.length; index++) {
                int expected = AgedNews.expected(
                        others[index], mean, newsAgeMillis, admission.rate().stayMillis());
                UpstreamId id = upstreams.get(index).id;
                rooms.add(admission.refusals().room(id, SLOTS, own[index] + expected, now));
            }
            return rooms;
        }

        void look(Request request) {
            List<UpstreamRoom> rooms = rooms();
            List<UpstreamRoom> sound = new ArrayList<>();
            int inFlight = 0;
            for (int index = 0; index < own.length; index++) {
                if (!isKnownDark(index)) {
                    sound.add(rooms.get(index));
                    inFlight += own[index];
                }
            }
            ServiceAdmission.Fleet fleet = new ServiceAdmission.Fleet(
                    sound, inFlight, request.urgent ? ownUrgent : inFlight, routers.size(), newsAgeMillis);
            int ahead = admission.ahead(request, request.waiting());
            int chosen = choose(rooms);
            boolean full = decides && (chosen < 0 || !admission.mayUsePlace(fleet, ahead, now));
            SendDecision decision = decides
                    ? AdmissionDecision.decide(situation(request, fleet, ahead, full))
                    : new SendDecision.Send();
            switch (decision) {
                case SendDecision.Send send -> send(request, chosen, fleet);
                case SendDecision.Wait wait -> {
                    admission.beginWait(request, request.waiting());
                    looks.add(new Look(wait.untilMillis(), request));
                }
                case SendDecision.Refuse refuse -> refuse(request);
            }
        }

        private AdmissionDecision.Situation situation(
                Request request, ServiceAdmission.Fleet fleet, int ahead, boolean full) {
            return new AdmissionDecision.Situation(
                    full ? new AdmissionDecision.AllFull() : new AdmissionDecision.AtUpstream(0, true),
                    request.sends == 0,
                    true,
                    true,
                    request.urgent,
                    false,
                    ahead,
                    admission.placeMillis(fleet),
                    request.targetMillis(),
                    request.receivedAtMillis + request.targetMillis() / 2,
                    request.receivedAtMillis + 5 * request.targetMillis(),
                    now);
        }

        /** Chooses, of two random upstreams that have a place, the one that runs fewer of its own requests. */
        private int choose(List<UpstreamRoom> rooms) {
            int chosen = -1;
            int found = 0;
            int first = random.nextInt(rooms.size());
            for (int step = 0; step < rooms.size() && found < 2; step++) {
                int index = (first + step * 7 + (step * 7 / rooms.size())) % rooms.size();
                if (isKnownDark(index) || (decides && !rooms.get(index).hasPlace())) {
                    continue;
                }
                found++;
                if (chosen < 0 || own[index] < own[chosen]) {
                    chosen = index;
                }
            }
            return chosen;
        }

        private void send(Request request, int index, ServiceAdmission.Fleet fleet) {
            admission.endWait(request);
            admission.recordSend(fleet, now);
            ReplayedUpstream upstream = upstreams.get(index);
            request.sends++;
            request.sentAtMillis = now;
            if (upstream.offer(request)) {
                own[index]++;
                ownUrgent += request.urgent ? 1 : 0;
                return;
            }
            turnedAway++;
            admission
                    .refusals()
                    .record(new UpstreamRefusals.Observation(
                            upstream.id,
                            SLOTS,
                            upstream.occupancy(),
                            Optional.of(new UpstreamLoad(SLOTS, upstream.queue.size(), SLOTS)),
                            admission.rate().placeMillis(upstream.occupancy(), routers.size()),
                            request.targetMillis(),
                            now));
            if (request.sends < MAXIMUM_SENDS) {
                looks.add(new Look(now + STEP_MILLIS, request));
            } else {
                refuse(request);
            }
        }

        void complete(Request request, int index, ReplayedUpstream upstream) {
            own[index]--;
            ownUrgent -= request.urgent ? 1 : 0;
            admission.rate().record(now - request.sentAtMillis);
            admission.refusals().placeCameFree(upstream.id);
            if (now >= MEASURED_FROM_MILLIS) {
                completed++;
            }
            outcome(request).served++;
            byRouter[number].served++;
            byCustomer[request.customer].served++;
            outcome(request).waitedMillis += now - request.receivedAtMillis;
        }

        private void refuse(Request request) {
            admission.endWait(request);
            outcome(request).refused++;
            byRouter[number].refused++;
        }
    }

    ReplayedFleet(int routerCount, int upstreamCount, boolean decides, long seed) {
        this.random = new SplittableRandom(seed);
        this.decides = decides;
        // A full mesh tells its work with each heartbeat; in a tree three hops pass it on.
        this.newsAgeMillis = routerCount > 20 ? 900 : 280;
        for (int number = 0; number < upstreamCount; number++) {
            upstreams.add(new ReplayedUpstream(number));
        }
        byRouter = new Outcome[routerCount];
        for (int number = 0; number < routerCount; number++) {
            routers.add(new ReplayedRouter(number));
            byRouter[number] = new Outcome();
        }
        Arrays.setAll(byCustomer, customer -> new Outcome());
    }

    private Outcome outcome(Request request) {
        return request.urgent ? urgent : patient;
    }

    private boolean isDark(int number) {
        return number < pattern.darkUpstreams() && now >= TROUBLE_FROM_MILLIS;
    }

    private boolean isKnownDark(int number) {
        return number < pattern.darkUpstreams() && now >= DARK_KNOWN_MILLIS;
    }

    /** Plays callers who ask for a multiple of what the upstreams complete; a third of the requests are urgent. */
    ReplayedFleet play(Pattern played) {
        pattern = played;
        double calmPerStep = pattern.load() * upstreams.size() * SLOTS * STEP_MILLIS / SERVICE_MILLIS;
        double due = 0;
        for (now = 0; now < DURATION_MILLIS; now += STEP_MILLIS) {
            for (int number = 0; number < upstreams.size(); number++) {
                upstreams.get(number).advance(number);
            }
            for (ReplayedRouter router : routers) {
                router.readNews();
                while (!router.looks.isEmpty() && router.looks.peek().atMillis() <= now) {
                    router.look(router.looks.poll().request());
                }
            }
            boolean trouble = now >= TROUBLE_FROM_MILLIS && now < TROUBLE_UNTIL_MILLIS;
            double patientWeight = (1 - URGENT_FRACTION) * (trouble ? pattern.patientFactor() : 1);
            double hotWeight = HOT_CUSTOMERS * (trouble ? pattern.hotFactor() : 1);
            double customerWeight = CUSTOMERS - HOT_CUSTOMERS + hotWeight;
            double askedPerStep = calmPerStep * (URGENT_FRACTION + patientWeight) * customerWeight / CUSTOMERS;
            for (due += askedPerStep * random.nextDouble(2); due >= 1; due--) {
                boolean urgent = random.nextDouble(URGENT_FRACTION + patientWeight) < URGENT_FRACTION;
                boolean hot = random.nextDouble(customerWeight) < hotWeight;
                ask(urgent, hot ? random.nextInt(HOT_CUSTOMERS) : random.nextInt(HOT_CUSTOMERS, CUSTOMERS));
            }
        }
        return this;
    }

    private void ask(boolean urgent, int customer) {
        double part = Math.pow(random.nextDouble(), pattern.uneven() ? UNEVENNESS : 1);
        ReplayedRouter router = routers.get((int) (part * routers.size()));
        Request request = new Request(urgent, customer, now, router);
        outcome(request).asked++;
        byRouter[router.number].asked++;
        byCustomer[customer].asked++;
        router.look(request);
    }

    double turnedAwayFraction() {
        return (double) turnedAway / arrivals;
    }

    double completedPerSecond() {
        return completed * 1_000.0 / (DURATION_MILLIS - MEASURED_FROM_MILLIS);
    }
}
