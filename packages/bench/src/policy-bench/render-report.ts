import { parse, View } from "vega";
import type { TopLevelSpec } from "vega-lite";
import { compile } from "vega-lite";

import type { BenchResult, BenchRun } from "./bench-result.js";
import { median } from "./bench-result.js";

interface Plot {
    readonly title: string;
    readonly unit: string;
    readonly read: (run: BenchRun) => number;
}

const plots: readonly Plot[] = [
    { title: "Tail latency of the service", unit: "99th percentile over target", read: run => run.figures.tailRatio },
    { title: "Windows within target", unit: "share of windows", read: run => run.figures.withinTarget },
    { title: "Batch throughput", unit: "of the oracle's", read: run => run.ofOracle },
    { title: "Evictions", unit: "per finished task", read: run => run.figures.evictionsPerTask },
    { title: "Fairness", unit: "worst team over its due", read: run => run.figures.fairness },
];

const escapeText = (text: string): string =>
    text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");

const renderPlot = async (plot: Plot, results: readonly BenchResult[]): Promise<string> => {
    const values = results.map(result => ({
        user: result.user,
        scenario: result.scenario,
        contender: result.contender,
        value: median(result.runs.map(plot.read)),
    }));
    const specification: TopLevelSpec = {
        data: { values },
        mark: "bar",
        width: 640,
        height: 220,
        title: plot.title,
        encoding: {
            row: { field: "user", type: "nominal", title: null },
            x: { field: "scenario", type: "nominal", sort: null, title: null, axis: { labelAngle: -20 } },
            xOffset: { field: "contender", sort: null },
            y: { field: "value", type: "quantitative", title: plot.unit },
            color: { field: "contender", type: "nominal", sort: null },
        },
    };
    const view = new View(parse(compile(specification).spec), { renderer: "none" });
    return view.toSVG();
};

/** Renders the results as one self-contained HTML page with plots. */
export const renderReport = async (results: readonly BenchResult[]): Promise<string> => {
    const svgs = await Promise.all(plots.map(plot => renderPlot(plot, results)));
    const seeds = results[0]?.runs.map(run => run.seed).join(", ") ?? "";
    return [
        '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>jayfront bench</title>',
        "<style>body{font-family:sans-serif;max-width:960px;margin:2em auto}svg{max-width:100%;height:auto}</style>",
        `</head><body><h1>jayfront bench</h1><p>Medians over seeds ${escapeText(seeds)}, in fake time.</p>`,
        ...svgs.map(svg => `<figure>${svg}</figure>`),
        "</body></html>",
    ].join("\n");
};
