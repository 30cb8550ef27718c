/** Plays scenes of limits that all routers share, by hand: `npm run scenes -- --scene fail --busy 16`. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { formatSceneResult, getScene, LIMIT_SCENES, playLimitScene } from "../tools/limitScenes.js";

const NETWORK = 200;

const options = await yargs(hideBin(process.argv))
    .option("scene", { type: "string", array: true, default: LIMIT_SCENES.map(({ name }) => name) })
    .option("network", { type: "number", default: NETWORK, describe: "second part of the addresses" })
    .option("busy", { type: "number", default: 0, describe: "processes beside it that use all CPU time they get" })
    .option("routers", { type: "number", describe: "instead of the scene's number" })
    .option("keep-logs", { type: "boolean", default: false })
    .strict()
    .parseAsync();

let brokenCount = 0;
for (const name of options.scene) {
    const scene = { ...getScene(name), busyProcesses: options.busy };
    const { routers = scene.routers } = options;
    const result = await playLimitScene({ ...scene, routers }, options.network, options.keepLogs);
    brokenCount += result.broken.length > 0 ? 1 : 0;
    console.log(`${name}: ${formatSceneResult(result)}${options.keepLogs ? `, logs ${result.logFolder}` : ""}`);
}
process.exit(brokenCount > 0 ? 1 : 0);
