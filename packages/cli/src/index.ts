export * from "./api-client.js";
export * from "./command-context.js";
export * from "./commands/cluster-commands.js";
export * from "./commands/environment-commands.js";
export * from "./commands/job-commands.js";
export * from "./run-command.js";
export * from "./util/format-table.js";
export * from "./util/read-text-file.js";
