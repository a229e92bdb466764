import { call, pause, runCase } from "../lib-3/fleet.js";

const weird: object[] = [
    { steps: [{ count: 1, cpu: 1e308, memoryRequestMb: 1e308, estimatedMs: 1e308 }] },
    { steps: [{ count: 10000, cpu: 1e308, estimatedMs: 1e308 }] },
    { steps: [{ count: 3, cpu: 1e308, estimatedMs: 1e308, longRunning: true }] },
    { steps: [{ count: 3, cpu: 1e308, estimatedMs: 1e308, fills: true, image: "x" }] },
    { steps: [{ count: 3, cpu: 1e308, memoryRequestMb: 1e308, estimatedMs: 1e308, gangScheduled: true }] },
    { steps: [{ count: 3, cpu: 1000, memoryRequestMb: 100, estimatedMs: 1e308, requirements: "nolabel" }] },
    {
        steps: [{
            count: 3,
            cpu: 1000,
            memoryRequestMb: 100,
            estimatedMs: 1e308,
            requirements: "nolabel",
            longRunning: true,
        }],
    },
    {
        steps: [{
            count: 3,
            cpu: 1000,
            memoryRequestMb: 1e300,
            estimatedMs: 1e308,
            targetMs: 1e-300,
            longRunning: true,
            image: "y",
        }],
    },
    {
        steps: [{ count: 3, cpu: 1000, memoryRequestMb: 100, estimatedMs: 1e308 }],
        repetitions: 3,
        firstRunMs: 1e308,
        intervalMs: 1e308,
    },
    {
        steps: [{ count: 3, cpu: 1000, memoryRequestMb: 100, estimatedMs: 1e308 }],
        repetitions: 3,
        firstRunMs: -1e308,
        intervalMs: 1e308,
    },
    { steps: [{ count: 3, cpu: 0, memoryRequestMb: 0, estimatedMs: 0 }] },
    {
        steps: [{
            count: 3,
            cpu: 0,
            memoryRequestMb: 0,
            estimatedMs: 0,
            longRunning: true,
            targetMs: 1e308,
            image: "z",
        }],
        specification: '{"isLasting":true}',
    },
    { steps: [{ count: 3, cpu: 1e-300, memoryRequestMb: 0, estimatedMs: 0, gangScheduled: true, sameRack: true }] },
    { steps: [{ count: 3, cpu: 1000, memoryRequestMb: 100, affinity: "no-such-rack", estimatedMs: 1e308 }] },
    {
        steps: [{
            count: 3,
            cpu: 1000,
            memoryRequestMb: 100,
            affinity: "no-such-rack",
            estimatedMs: 1e308,
            gangScheduled: true,
            sameRack: true,
            antiAffinity: 1,
        }],
    },
    {
        steps: [{ count: 100000, cpu: 100000, memoryRequestMb: 1, estimatedMs: 10 }, {
            count: 100000,
            cpu: 100000,
            memoryRequestMb: 1,
            estimatedMs: 10,
        }],
    },
];

void runCase(
    "tried-3",
    { hostsPerZone: 1, workersPerZone: 3, tasksPerWorker: 8 },
    async ({ hosts, note, platform }, hasTrouble) => {
        const h = (n: number) => hosts[n % hosts.length] ?? hosts[0]!;
        if (hasTrouble) {
            for (const [n, body] of weird.entries()) {
                for (const q of ["orders", "sync"]) {
                    const { status } = await call(
                        h(n),
                        "POST",
                        `/${q}/${q === "orders" ? "c" : "d"}${n.toString(16).padStart(15, "0")}`,
                        body,
                    );
                    note(`weird ${q} ${String(n)}: ${String(status)} ${JSON.stringify(body).slice(0, 120)}`);
                }
            }
        }
        const jobs: { path: string; lasting: boolean; }[] = [];
        const t0 = performance.now();
        for (let n = 0; performance.now() - t0 < 25_000; n += 1) {
            const q = n % 2 === 0 ? "orders" : "sync";
            const lasting = n % 20 === 7;
            const fills = n % 10 === 3;
            const path = `/${q}/a${n.toString(16).padStart(15, "0")}`;
            const { status } = await call(h(n), "POST", path, {
                specification: lasting ? '{"isLasting":true}' : '{"work":300}',
                steps: [{
                    count: 2,
                    cpu: 1000,
                    memoryRequestMb: 100,
                    estimatedMs: 300,
                    ...(lasting ? { longRunning: true, image: "s", targetMs: 25 } : {}),
                    ...(fills ? { fills: true, image: "f" } : {}),
                }],
            });
            if (status === 200) {
                jobs.push({ path, lasting });
            }
            else {
                note(`${path} ${String(status)}`);
            }
            await pause(150);
        }
        await pause(14_000);
        let bad = 0;
        const running = [...platform.workers.values()].flatMap(w => w.running());
        for (const [n, { path, lasting }] of jobs.entries()) {
            const { status, state } = await call(h(n), "GET", path);
            const id = path.split("/").at(-1) ?? "";
            const count = running.filter(t => t.startsWith(id)).length;
            const ok = lasting ? count === 2 : state === "completed";
            if (!ok) {
                bad += 1;
                note(`${path} lasting=${String(lasting)} ${String(status)} ${state ?? ""} running ${String(count)}`);
            }
        }
        note(
            `${String(jobs.length)} accepted, ${String(bad)} bad; own exits ${hosts.map(x => x.ownExits()).join(",")}`,
        );
        return bad > 0;
    },
);
